package org.basilrill.protocol.relay;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilrill.api.LogEvent;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.relay.RelayMessages.Instruction;
import org.basilrill.protocol.target.TargetConnector;

/**
 * One exchange that this instance carries for another one. Bytes of the response are passed on as they arrive; the
 * target may send more once they were written. A response that breaks off breaks off at the other instance as well.
 * Thread safe: the events of the target arrive one at a time; the other methods may be called by any thread.
 */
final class RelayedExchange implements RunningRequest, TargetConnector.Listener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Instruction instruction;
    private final CallerStream stream;
    private final Runnable ended;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final PendingCall call = new PendingCall();
    private boolean started;

    /**
     * Creates an exchange.
     *
     * @param ended called once, when the exchange no longer uses a connection
     */
    RelayedExchange(Instruction instruction, CallerStream stream, Runnable ended) {
        this.instruction = instruction;
        this.stream = stream;
        this.ended = ended;
    }

    /** Attaches the call to the target. */
    void attach(TargetConnector.Call opened) {
        call.attach(opened);
    }

    @Override
    public void bytesWritten(int bytes) {
        call.extendWindow(bytes);
    }

    @Override
    public void callerDisconnected() {
        if (finish()) {
            call.cancel();
        }
    }

    @Override
    public boolean maySend() {
        return !finished.get();
    }

    @Override
    public void headReceived(ResponseHead head) {
        started = true;
        stream.start(RelayMessages.fromTarget(head));
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        stream.write(bytes);
    }

    @Override
    public void responseCompleted() {
        if (finish()) {
            stream.end();
        }
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        if (!finish()) {
            return;
        }
        LOGGER.atInfo().log(
                "%s: target %s, request %s of instance %s, %s: %s",
                LogEvent.RELAYED_EXCHANGE_FAILED,
                instruction.target(),
                instruction.requestId(),
                instruction.sender(),
                failure.kind(),
                failure.detail());
        if (started) {
            stream.abort();
            return;
        }
        stream.start(RelayMessages.withoutResponse(RelayResult.of(failure), failure.detail()));
        stream.end();
    }

    private boolean finish() {
        boolean first = finished.compareAndSet(false, true);
        if (first) {
            ended.run();
        }
        return first;
    }
}
