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
import org.junit.jupiter.api.Test;

/**
 * Pattern: all machines lose power, and callers are back before the control log has a leader. Each of 395 tries was
 * refused within a second because the instances knew no rules yet, and their callers did not come a third time.
 */
class StartingRequestsTest {
    private final VirtualTime time = new VirtualTime();
    private final AtomicBoolean ready = new AtomicBoolean();
    private final List<Duration> started = new ArrayList<>();
    private final StartingRequests starting = new StartingRequests(ready::get, time, time);
    private final RecordingStream caller = new RecordingStream();

    /** Guards against refusing callers who only came a moment too early. */
    @Test
    void aRequestIsStartedOnceTheRulesAreKnown() {
        keep();
        time.advance(Duration.ofMillis(1_000));
        assertThat(started, is(empty()));
        ready.set(true);
        time.advance(Duration.ofMillis(10));
        assertThat(started, is(List.of(Duration.ofMillis(1_010))));
        assertThat(starting.isOpen(), is(false));
    }

    /** Guards against holding callers of an instance that finds no control log. */
    @Test
    void theWaitIsBoundedFromTheStartOfTheInstance() {
        time.advance(Duration.ofMillis(2_900));
        keep();
        time.advance(Duration.ofMillis(100));
        assertThat(started, is(List.of(Duration.ofMillis(100))));
        assertThat(starting.isOpen(), is(false));
    }

    /** Guards against an answer after the deadline: a caller may wait for less than the rules take. */
    @Test
    void aRequestIsKeptNoLongerThanItsCallerWaits() {
        keep(Optional.of(Duration.ofMillis(200)));
        keep(Optional.of(Duration.ofMillis(800)));
        time.advance(Duration.ofMillis(200));
        assertThat(started, is(List.of(Duration.ofMillis(170))));
        time.advance(Duration.ofMillis(600));
        assertThat(started, is(List.of(Duration.ofMillis(170), Duration.ofMillis(770))));
        assertThat(time.scheduled(), is(0));
    }

    /** Guards against running a request whose caller has left. */
    @Test
    void aRequestWhoseCallerLeftIsNotStarted() {
        RunningRequest request = keep();
        request.callerGone();
        ready.set(true);
        time.advance(Duration.ofMillis(20));
        assertThat(started, is(empty()));
        assertThat(caller.aborted(), is(true));
        assertThat(time.scheduled(), is(0));
    }

    /** Guards against keeping requests again when an instance that was ready loses touch later. */
    @Test
    void anInstanceThatWasReadyKeepsNoRequests() {
        ready.set(true);
        assertThat(starting.isOpen(), is(false));
        ready.set(false);
        assertThat(starting.isOpen(), is(false));
    }

    private RunningRequest keep() {
        return keep(Optional.empty());
    }

    private RunningRequest keep(Optional<Duration> timeLeft) {
        return starting.keep(
                keptFor -> {
                    started.add(keptFor);
                    return new RunningRequest() {
                        @Override
                        public void taken(int bytes) {
                            // Nothing is written.
                        }

                        @Override
                        public void callerGone() {
                            // Nothing runs.
                        }
                    };
                },
                caller,
                timeLeft);
    }
}
