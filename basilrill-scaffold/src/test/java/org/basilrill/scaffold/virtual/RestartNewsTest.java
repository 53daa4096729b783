package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that had no exchange at a target when it crashed, and goes on trusting its announced
 * software version after the target has started again.
 */
class RestartNewsTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    /** Shorter than the start of any process, so that the news arrives before the target is up again. */
    private static final Duration NEWS_DELAY = Duration.ofMillis(50);

    private final VirtualFleet fleet =
            new VirtualFleet(41, 12, 6, Optional.empty(), Optional.of(new ModelId(VirtualOperators.MODEL)));
    private final InstanceId first = fleet.deployment().instances().get(0);

    @BeforeEach
    void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    @Test
    void theSignOfOneInstanceReachesAllOthersBeforeTheTargetIsUpAgain() {
        fleet.target(0).crash();
        connectFrom(first);
        fleet.time().runFor(NEWS_DELAY);
        fleet.target(0).restart();
        for (InstanceId instance : fleet.deployment().instances()) {
            assertThat(instance.value(), isUnconfirmedAt(instance), is(true));
        }
    }

    @Test
    void theNextIncarnationIsConfirmedEverywhereOnceItHasAnnouncedItself() {
        fleet.target(0).crash();
        connectFrom(first);
        fleet.time().runFor(NEWS_DELAY);
        fleet.target(0).restart();
        fleet.time().runFor(Duration.ofSeconds(2));
        for (InstanceId instance : fleet.deployment().instances()) {
            assertThat(instance.value(), isUnconfirmedAt(instance), is(false));
        }
    }

    private boolean isUnconfirmedAt(InstanceId instance) {
        return targetAt(instance).hasUnconfirmedVersion();
    }

    private TargetAnnouncement targetAt(InstanceId instance) {
        return fleet.deployment()
                .running(instance)
                .orElseThrow()
                .targets()
                .target(fleet.target(0).id())
                .orElseThrow();
    }

    private void connectFrom(InstanceId instance) {
        fleet.deployment()
                .running(instance)
                .orElseThrow()
                .targetAccess()
                .orElseThrow()
                .connector()
                .open(
                        targetAt(instance),
                        new TargetConnector.Request("GET", "/", List.of(), new byte[0]),
                        true,
                        new IgnoringListener());
    }

    /** Receives the events of an exchange whose result does not matter. */
    private static final class IgnoringListener implements TargetConnector.Listener {
        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void headReceived(ResponseHead head) {
            // Not needed.
        }

        @Override
        public void bodyReceived(byte[] bytes) {
            // Not needed.
        }

        @Override
        public void responseCompleted() {
            // Not needed.
        }

        @Override
        public void failed(TargetConnector.Failure failure) {
            // The refused connection is the sign of the crash.
        }
    }
}
