package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.control.SessionTracker.Session;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlView;
import org.junit.jupiter.api.Test;

/**
 * Guards against sessions that expire while their instance still has a valid lease, and against views that go back to
 * an earlier index.
 */
class SessionTrackerTest {
    private static final Session SESSION = new Session(new InstanceId("i"), 7);
    private static final Map<InstanceId, Long> OPEN = Map.of(SESSION.instance(), SESSION.sessionId());
    private static final long TIMEOUT = SessionTracker.TIMEOUT.toNanos();

    private final SessionTracker sessionTracker = new SessionTracker();

    @Test
    void aSessionWhoseExpiryIsProposedIsNoLongerConfirmed() {
        assertThat(sessionTracker.confirm(1, 0, List.of(SESSION), () -> OPEN), contains(SESSION));
        assertThat(sessionTracker.takeExpired(1, TIMEOUT - 1, () -> OPEN), is(empty()));
        assertThat(sessionTracker.takeExpired(1, TIMEOUT, () -> OPEN), contains(SESSION));
        assertThat(sessionTracker.confirm(1, TIMEOUT, List.of(SESSION), () -> OPEN), is(empty()));
        assertThat("an expiry is proposed once", sessionTracker.takeExpired(1, TIMEOUT, () -> OPEN), is(empty()));
        sessionTracker.cancelExpiry(SESSION);
        assertThat(sessionTracker.confirm(1, TIMEOUT, List.of(SESSION), () -> OPEN), contains(SESSION));
    }

    @Test
    void aSecondProcessOfANameIsRefusedDuringTheLeaseOfTheFirst() {
        sessionTracker.confirm(1, 0, List.of(SESSION), () -> OPEN);
        Session next = new Session(SESSION.instance(), 8);
        assertThrows(BasilrillException.class, () -> sessionTracker.replace(1, 1, next, () -> OPEN));
    }

    /** All processes are killed at once and restarted; each waited 3 s for the lease of its own earlier session. */
    @Test
    void aProcessNamedByItsAddressReplacesTheEarlierOneAtOnce() {
        Session earlier = new Session(new InstanceId("10.1.0.25:7600"), 7);
        Map<InstanceId, Long> open = Map.of(earlier.instance(), earlier.sessionId());
        sessionTracker.confirm(1, 0, List.of(earlier), () -> open);
        Session next = new Session(earlier.instance(), 8);
        assertThat(sessionTracker.replace(1, 1, next, () -> open), is(Optional.of(earlier)));
        assertThat(sessionTracker.confirm(1, 2, List.of(earlier), () -> open), is(empty()));
    }

    @Test
    void aSessionThatIsNotOpenIsNotConfirmed() {
        assertThat(sessionTracker.confirm(1, 0, List.of(SESSION), Map::of), is(empty()));
        assertThat(sessionTracker.confirm(1, 0, List.of(SESSION), () -> Map.of(SESSION.instance(), 8L)), is(empty()));
    }

    @Test
    void anEarlierTermNeitherConfirmsNorExpires() {
        sessionTracker.takeExpired(2, 0, () -> OPEN);
        assertThat(sessionTracker.confirm(1, 0, List.of(SESSION), () -> OPEN), is(empty()));
        assertThat(sessionTracker.takeExpired(1, 2 * TIMEOUT, () -> OPEN), is(empty()));
    }

    @Test
    void aNewTermRestartsTheTimeouts() {
        sessionTracker.confirm(1, 0, List.of(SESSION), () -> OPEN);
        assertThat(sessionTracker.takeExpired(2, TIMEOUT, () -> OPEN), is(empty()));
        assertThat(sessionTracker.takeExpired(2, 2 * TIMEOUT, () -> OPEN), contains(SESSION));
    }

    @Test
    void anOlderViewIsNeverInstalled() {
        ViewHolder holder = new ViewHolder();
        List<Long> received = new ArrayList<>();
        holder.addViewListener(view -> received.add(view.index()));
        List.of(4L, 3L, 4L, 9L)
                .forEach(index ->
                        holder.install(new ControlView(index, Rules.empty(), Map.of(), java.util.Set.of(), Map.of())));
        assertThat(received, contains(4L, 9L));
        assertThat(holder.view().index(), is(9L));
    }
}
