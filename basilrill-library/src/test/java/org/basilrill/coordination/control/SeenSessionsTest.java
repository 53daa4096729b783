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
import org.basilrill.coordination.control.SeenSessions.Session;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlView;
import org.junit.jupiter.api.Test;

/** Guards leases against an expiry that the instance does not hear of, and views against going back. */
class SeenSessionsTest {
    private static final Session SESSION = new Session(new InstanceId("i"), 7);
    private static final Map<InstanceId, Long> OPEN = Map.of(SESSION.instance(), SESSION.sessionId());
    private static final long TIMEOUT = SeenSessions.TIMEOUT.toNanos();

    private final SeenSessions seen = new SeenSessions();

    @Test
    void aSessionWhoseExpiryIsProposedIsNoLongerConfirmed() {
        assertThat(seen.confirm(1, 0, List.of(SESSION), () -> OPEN), contains(SESSION));
        assertThat(seen.takeExpired(1, TIMEOUT - 1, () -> OPEN), is(empty()));
        assertThat(seen.takeExpired(1, TIMEOUT, () -> OPEN), contains(SESSION));
        assertThat(seen.confirm(1, TIMEOUT, List.of(SESSION), () -> OPEN), is(empty()));
        assertThat("an expiry is proposed once", seen.takeExpired(1, TIMEOUT, () -> OPEN), is(empty()));
        seen.withdraw(SESSION);
        assertThat(seen.confirm(1, TIMEOUT, List.of(SESSION), () -> OPEN), contains(SESSION));
    }

    @Test
    void aSecondProcessOfANameWaitsUntilTheFirstHasSurelyEnded() {
        seen.confirm(1, 0, List.of(SESSION), () -> OPEN);
        Session next = new Session(SESSION.instance(), 8);
        assertThrows(BasilrillException.class, () -> seen.replace(1, 1, next, () -> OPEN));
    }

    /** Pattern: all processes are killed at once and come back; each waited 3 s for its own earlier session. */
    @Test
    void aProcessNamedByItsAddressReplacesTheEarlierOneAtOnce() {
        Session earlier = new Session(new InstanceId("10.1.0.25:7600"), 7);
        Map<InstanceId, Long> open = Map.of(earlier.instance(), earlier.sessionId());
        seen.confirm(1, 0, List.of(earlier), () -> open);
        Session next = new Session(earlier.instance(), 8);
        assertThat(seen.replace(1, 1, next, () -> open), is(Optional.of(earlier)));
        assertThat(seen.confirm(1, 2, List.of(earlier), () -> open), is(empty()));
    }

    @Test
    void aSessionThatIsNotOpenIsNotConfirmed() {
        assertThat(seen.confirm(1, 0, List.of(SESSION), Map::of), is(empty()));
        assertThat(seen.confirm(1, 0, List.of(SESSION), () -> Map.of(SESSION.instance(), 8L)), is(empty()));
    }

    @Test
    void anEarlierTermNeitherConfirmsNorExpires() {
        seen.takeExpired(2, 0, () -> OPEN);
        assertThat(seen.confirm(1, 0, List.of(SESSION), () -> OPEN), is(empty()));
        assertThat(seen.takeExpired(1, 2 * TIMEOUT, () -> OPEN), is(empty()));
    }

    @Test
    void aNewTermStartsToCountAnew() {
        seen.confirm(1, 0, List.of(SESSION), () -> OPEN);
        assertThat(seen.takeExpired(2, TIMEOUT, () -> OPEN), is(empty()));
        assertThat(seen.takeExpired(2, 2 * TIMEOUT, () -> OPEN), contains(SESSION));
    }

    @Test
    void anOlderViewIsNeverInstalled() {
        ViewHolder holder = new ViewHolder();
        List<Long> heard = new ArrayList<>();
        holder.listen(view -> heard.add(view.index()));
        List.of(4L, 3L, 4L, 9L)
                .forEach(index ->
                        holder.install(new ControlView(index, Rules.empty(), Map.of(), java.util.Set.of(), Map.of())));
        assertThat(heard, contains(4L, 9L));
        assertThat(holder.view().index(), is(9L));
    }
}
