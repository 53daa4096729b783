package org.basilrill.coordination.path;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how an instance decides that it has lost its own path to a target. */
class TargetPathsTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final VirtualTime time = new VirtualTime();
    private final List<TargetAnnouncement> targets = IntStream.rangeClosed(1, 6)
            .mapToObj(number -> FakeServices.target("target-" + number, 9000 + number))
            .toList();
    private final Set<TargetId> cut = new HashSet<>();
    private final Set<TargetId> crashed = new HashSet<>();
    private final Set<TargetId> waiting = new HashSet<>();
    private final List<TargetId> abandoned = new ArrayList<>();
    private final List<TargetId> refused = new ArrayList<>();
    private final List<TargetId> missed = new ArrayList<>();
    /** Time by which the clock has advanced while no timer ran. */
    private long stalledNanos;

    private boolean hangs = true;
    private int probes;
    private int cuts;
    private TargetPaths paths;

    @BeforeEach
    void start() {
        paths = new TargetPaths(new TargetPaths.Environment(
                () -> targets,
                this::connect,
                target -> CompletableFuture.completedFuture(!crashed.contains(target.id())),
                new Exchanges(),
                () -> cuts++,
                new Restarts(),
                () -> time.nanos() + stalledNanos,
                time,
                new SplittableRandom(1)));
        paths.start();
    }

    /** Guards against an idle instance that knows nothing of a cut when the first request arrives. */
    @Test
    void anIdleInstanceKnowsWithinThreeSecondsThatItIsCutFromAllTargets() {
        targets.forEach(target -> cut.add(target.id()));
        time.advance(Duration.ofSeconds(3));
        assertThat(paths.lostPaths(), is(targets.size()));
        assertThat(paths.isCutOff(), is(true));
        assertThat(cuts, greaterThan(0));
    }

    /** Guards against exchanges that wait on a dead connection, which opens no new one. */
    @Test
    void aCutIsKnownWithinTwoSecondsWhileRequestsWait() {
        targets.forEach(target -> cut.add(target.id()));
        waiting.add(targets.get(0).id());
        waiting.add(targets.get(1).id());
        time.advance(Duration.ofSeconds(2));
        assertThat(paths.isCutOff(), is(true));
        assertThat(abandoned, hasItem(targets.get(0).id()));
    }

    /** Guards against requests that travel by way of others because a target has crashed. */
    @Test
    void aTargetThatNobodyReachesDoesNotCountAsALostPath() {
        crash(targets.get(0));
        for (int second = 0; second < 10; second++) {
            paths.connectionFailed(targets.get(0), Duration.ofMillis(1));
            contactAllBut(0);
            time.advance(Duration.ofSeconds(1));
        }
        assertThat(paths.lostPaths(), is(0));
    }

    /** Guards against a restart that goes unnoticed, and against a cut that is taken for restarts of all targets. */
    @Test
    void aTargetThatRefusesAConnectionIsReportedButNotThoseBehindACut() {
        crash(targets.get(0));
        hangs = false;
        contactAllBut(0);
        paths.connectionLost(targets.get(0));
        time.advance(Duration.ofMillis(10));
        assertThat(refused, hasItem(targets.get(0).id()));
        refused.clear();
        crashed.clear();
        hangs = true;
        targets.forEach(target -> cut.add(target.id()));
        time.advance(Duration.ofSeconds(5));
        assertThat(refused, is(empty()));
    }

    /** Guards against a target that starts again after connections to it hung, as its machine was down. */
    @Test
    void aConnectionThatHangsMayHideARestart() {
        contactAllBut(0);
        paths.connectionFailed(targets.get(0), Duration.ofMillis(400));
        assertThat(missed, is(List.of(targets.get(0).id())));
        assertThat(refused, is(empty()));
    }

    /**
     * Guards against a target that starts again while this instance does not run: its connections are found lost when
     * it accepts new ones, which is no sign of a restart otherwise.
     */
    @Test
    void aConnectionThatWasLostWhileThisInstanceDidNotRunMayHideARestart() {
        time.advance(Duration.ofSeconds(2));
        paths.connectionLost(targets.get(0));
        assertThat(missed, is(empty()));
        stalledNanos += Duration.ofMillis(700).toNanos();
        paths.connectionLost(targets.get(1));
        assertThat(missed, is(List.of(targets.get(1).id())));
        time.advance(Duration.ofMillis(200));
        paths.connectionLost(targets.get(2));
        assertThat(missed, hasItem(targets.get(2).id()));
        time.advance(Duration.ofSeconds(2));
        paths.connectionLost(targets.get(0));
        assertThat(missed.contains(targets.get(0).id()), is(false));
    }

    /** Guards against a path to one target that stays in use while only other instances reach the target. */
    @Test
    void aPathToOneTargetIsLostOnceAnotherInstanceReachesTheTarget() {
        cut.add(targets.get(0).id());
        hangs = false;
        contactAllBut(0);
        paths.connectionFailed(targets.get(0), Duration.ofMillis(1));
        time.advance(Duration.ofMillis(10));
        assertThat(paths.isLost(targets.get(0).id()), is(true));
        assertThat(paths.lostPaths(), is(1));
        assertThat(paths.isCutOff(), is(false));
    }

    /** Guards against one lost packet that moves requests to other instances. */
    @Test
    void oneFailureSoonAfterAContactIsNotALoss() {
        paths.contact(targets.get(0));
        paths.connectionFailed(targets.get(0), CONNECT_TIMEOUT);
        time.advance(Duration.ofSeconds(1));
        assertThat(paths.lostPaths(), is(0));
    }

    /** Guards against exchanges on sound connections that are given up when only new connections are refused. */
    @Test
    void exchangesAreKeptWhenNewConnectionsAreRefused() {
        targets.forEach(target -> cut.add(target.id()));
        hangs = false;
        time.advance(Duration.ofSeconds(3));
        assertThat(paths.isCutOff(), is(true));
        assertThat(abandoned, is(empty()));
    }

    /** Guards against paths that stay lost after the cut has ended. */
    @Test
    void pathsReturnSoonAfterTheCutHasEnded() {
        targets.forEach(target -> cut.add(target.id()));
        time.advance(Duration.ofSeconds(5));
        cut.clear();
        time.advance(Duration.ofSeconds(3));
        assertThat(paths.lostPaths(), is(0));
    }

    /** Guards against paths that are used in each pause of a cut that comes and goes. */
    @Test
    void aPathThatWasLostRepeatedlyReturnsLater() {
        hangs = false;
        for (int round = 0; round < 3; round++) {
            targets.forEach(target -> cut.add(target.id()));
            time.advance(Duration.ofSeconds(3));
            cut.clear();
            time.advance(Duration.ofSeconds(8));
        }
        assertThat(paths.lostPaths(), is(0));
        targets.forEach(target -> cut.add(target.id()));
        time.advance(Duration.ofSeconds(3));
        cut.clear();
        time.advance(Duration.ofSeconds(2));
        assertThat(paths.lostPaths(), greaterThan(0));
    }

    /** Guards against probes by instances whose requests show that the paths are sound. */
    @Test
    void anInstanceInContactWithTargetsProbesNone() {
        for (int step = 0; step < 20; step++) {
            contactAllBut(-1);
            time.advance(Duration.ofMillis(250));
        }
        assertThat(probes, is(0));
    }

    private void crash(TargetAnnouncement target) {
        crashed.add(target.id());
        cut.add(target.id());
    }

    private void contactAllBut(int index) {
        IntStream.range(0, targets.size())
                .filter(other -> other != index)
                .forEach(other -> paths.contact(targets.get(other)));
    }

    private CompletableFuture<Boolean> connect(TargetAnnouncement target) {
        probes++;
        CompletableFuture<Boolean> connected = new CompletableFuture<>();
        boolean unreachable = cut.contains(target.id());
        time.schedule(
                unreachable && hangs ? CONNECT_TIMEOUT : Duration.ofMillis(1), () -> connected.complete(!unreachable));
        return connected;
    }

    /** Records the exchanges that are given up. */
    private final class Exchanges implements DirectExchanges {
        @Override
        public Collection<TargetId> waitingFor(Duration silence) {
            return waiting;
        }

        @Override
        public void pathLost(TargetAnnouncement target, boolean unresponsive) {
            if (unresponsive) {
                abandoned.add(target.id());
            }
        }
    }

    /** Records the signs of restarts. */
    private final class Restarts implements RestartEvidence {
        @Override
        public void connectionRefused(TargetAnnouncement target) {
            refused.add(target.id());
        }

        @Override
        public void restartMayBeMissed(TargetAnnouncement target) {
            missed.add(target.id());
        }
    }
}
