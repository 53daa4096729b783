package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilrill.api.VirtualTime;
import org.basilrill.protocol.caller.RunningRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusing requests during startup. After a power failure of all machines, callers reconnect before the
 * control log has a leader. Without the queue, each of 395 requests was refused within a second because the instances
 * had no rules yet, and the callers did not retry a second time.
 */
class StartupQueueTest {
    private final VirtualTime time = new VirtualTime();
    private final AtomicBoolean ready = new AtomicBoolean();
    private final List<Duration> started = new ArrayList<>();
    private final StartupQueue queue = new StartupQueue(ready::get, time, time);
    private final RecordingStream caller = new RecordingStream();

    /** Guards against refusing requests that arrive shortly before the rules. */
    @Test
    void aRequestIsStartedOnceTheRulesAreKnown() {
        enqueue();
        time.advance(Duration.ofMillis(1_000));
        assertThat(started, is(empty()));
        ready.set(true);
        time.advance(Duration.ofMillis(10));
        assertThat(started, is(List.of(Duration.ofMillis(1_010))));
        assertThat(queue.isQueueing(), is(false));
    }

    /** Guards against queueing requests indefinitely at an instance that cannot reach the control log. */
    @Test
    void theWaitIsBoundedFromTheStartOfTheInstance() {
        time.advance(Duration.ofMillis(2_900));
        enqueue();
        time.advance(Duration.ofMillis(100));
        assertThat(started, is(List.of(Duration.ofMillis(100))));
        assertThat(queue.isQueueing(), is(false));
    }

    /** Guards against a response after the deadline, which may pass before the rules arrive. */
    @Test
    void aRequestIsQueuedNoLongerThanItsCallerWaits() {
        enqueue(Optional.of(Duration.ofMillis(200)));
        enqueue(Optional.of(Duration.ofMillis(800)));
        time.advance(Duration.ofMillis(200));
        assertThat(started, is(List.of(Duration.ofMillis(170))));
        time.advance(Duration.ofMillis(600));
        assertThat(started, is(List.of(Duration.ofMillis(170), Duration.ofMillis(770))));
        assertThat(time.scheduled(), is(0));
    }

    /** Guards against running a request whose caller has disconnected. */
    @Test
    void aRequestWhoseCallerDisconnectedIsNotStarted() {
        RunningRequest request = enqueue();
        request.callerDisconnected();
        ready.set(true);
        time.advance(Duration.ofMillis(20));
        assertThat(started, is(empty()));
        assertThat(caller.aborted(), is(true));
        assertThat(time.scheduled(), is(0));
    }

    /** Guards against queueing requests at an instance that was ready and later loses the control log. */
    @Test
    void anInstanceThatWasReadyQueuesNoRequests() {
        ready.set(true);
        assertThat(queue.isQueueing(), is(false));
        ready.set(false);
        assertThat(queue.isQueueing(), is(false));
    }

    private RunningRequest enqueue() {
        return enqueue(Optional.empty());
    }

    private RunningRequest enqueue(Optional<Duration> remainingTime) {
        return queue.enqueue(
                queuedFor -> {
                    started.add(queuedFor);
                    return new RunningRequest() {
                        @Override
                        public void bytesWritten(int bytes) {
                            // Nothing is written.
                        }

                        @Override
                        public void callerDisconnected() {
                            // Nothing runs.
                        }
                    };
                },
                caller,
                remainingTime);
    }
}
