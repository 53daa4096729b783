package org.basilrill.coordination.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.ResultCodec;

/** One control log for several instances, whose views are delivered when the test says so. Not thread safe. */
final class SharedControl {
    private final ControlStateMachine machine = new ControlStateMachine();
    private final List<Client> clients = new ArrayList<>();
    private long index;
    private boolean available = true;
    private boolean earlierRelease;

    Client client() {
        Client client = new Client();
        clients.add(client);
        return client;
    }

    void setAvailable(boolean isAvailable) {
        available = isAvailable;
    }

    /** Lets the log refuse all commands, as one of an earlier release refuses those that it does not know. */
    void refuseCommands() {
        earlierRelease = true;
    }

    /** Delivers the current view to all instances, as their next pulls do. */
    void deliverViews() {
        clients.forEach(Client::deliver);
    }

    /** The client of one instance. */
    final class Client implements ControlClient {
        private final List<Consumer<ControlView>> listeners = new ArrayList<>();
        private ControlView view = ControlView.empty();

        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
            if (!available) {
                return CompletableFuture.failedFuture(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "no leader in this test"));
            }
            if (earlierRelease) {
                return CompletableFuture.completedFuture(
                        new ControlResult.Refused(ErrorCode.MESSAGE_MALFORMED, "unknown command in this test"));
            }
            return CompletableFuture.completedFuture(
                    ResultCodec.decode(machine.apply(++index, CommandCodec.encode(command))));
        }

        @Override
        public ControlView view() {
            return view;
        }

        @Override
        public Optional<Duration> confirmationAge() {
            return Optional.of(Duration.ZERO);
        }

        @Override
        public boolean isCurrent() {
            return true;
        }

        @Override
        public long sessionId() {
            return 1;
        }

        @Override
        public boolean holdsSession() {
            return true;
        }

        @Override
        public void onView(Consumer<ControlView> listener) {
            listeners.add(listener);
        }

        private void deliver() {
            view = machine.view();
            listeners.forEach(listener -> listener.accept(view));
        }
    }
}
