package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.AssignBucket;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlResult.BucketHeld;
import org.basilrill.state.control.ControlResult.CrashCount;
import org.basilrill.state.control.ControlView.BucketOwner;

/** Guards against two owners of a bucket at once and against wrong counts of crash suspects. */
class BucketOwnersPropertyTest {
    private static final AccountId ACCOUNT = new AccountId("a");
    private static final TargetId FIRST_TARGET = new TargetId("t1");
    private static final TargetId SECOND_TARGET = new TargetId("t2");
    private static final long DAY_MILLIS = 24 * 3_600_000L;

    @Property(tries = 500, seed = "4231")
    void anOwnerWithAnOpenSessionLosesItsBucketOnlyByHandover(@ForAll("choices") List<Integer> choices) {
        MachineHarness harness = new MachineHarness();
        List<ControlCommand> sent = new ArrayList<>();
        for (int choice : choices) {
            if (choice % 13 == 0) {
                harness.restart();
            }
            ControlCommand command =
                    choice % 4 == 0 && !sent.isEmpty() ? sent.get(choice / 4 % sent.size()) : command(choice / 4);
            sent.add(command);
            ControlView before = harness.machine().view();
            ControlResult result = harness.apply(command);
            ControlView after = harness.machine().view();
            boolean changed = !withoutIndex(after).equals(withoutIndex(before));
            assertThat(
                    "the index increases if and only if the view changes", after.index() > before.index(), is(changed));
            if (command instanceof AssignBucket assign) {
                check(assign, result, before, after);
            }
            var state = harness.state();
            assertThat("a command applied twice gives the same result", harness.apply(command), is(result));
            assertThat("a command applied twice gives the same state", harness.state(), is(state));
        }
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Choices.sequences(0, 120);
    }

    @Example
    void twoDistinctTargetsBlockARequestAndRestartsOfOneDoNot() {
        MachineHarness harness = new MachineHarness();
        assertThat(harness.apply(new ReportCrash("f", FIRST_TARGET, 1, 0)), is(new CrashCount(1)));
        assertThat(harness.apply(new ReportCrash("f", FIRST_TARGET, 2, 0)), is(new CrashCount(1)));
        assertThat(harness.machine().view().blockedFingerprints().isEmpty(), is(true));
        assertThat(harness.apply(new ReportCrash("f", SECOND_TARGET, 1, 5)), is(new CrashCount(2)));
        harness.restart();
        assertThat(harness.machine().view().blockedFingerprints().contains("f"), is(true));
        harness.apply(new ReportCrash("g", FIRST_TARGET, 1, 5 + DAY_MILLIS + 1));
        assertThat(harness.machine().view().blockedFingerprints().isEmpty(), is(true));
    }

    private static void check(AssignBucket assign, ControlResult result, ControlView before, ControlView after) {
        BucketOwner old = before.bucketOwners().get(ACCOUNT);
        BucketOwner now = after.bucketOwners().get(ACCOUNT);
        if (result instanceof BucketHeld held) {
            assertThat(held, is(new BucketHeld(now.owner(), now.epoch())));
        }
        if (now == null || now.equals(old)) {
            return;
        }
        boolean ownerWasActive = old != null && Long.valueOf(old.sessionId()).equals(sessionOf(before, old.owner()));
        assertThat(now.epoch(), is(assign.expectedEpoch() + 1));
        assertThat(now.epoch(), is(old == null ? 1L : old.epoch() + 1));
        assertThat(
                "an owner with an open session loses its bucket only by handover",
                !ownerWasActive || assign.handedOverTokens() > 0);
        assertThat("the new owner has a session", sessionOf(before, now.owner()), is(now.sessionId()));
        boolean keepsLevel = ownerWasActive || old == null;
        assertThat(now.startTokens(), is(keepsLevel ? assign.handedOverTokens() : 0L));
    }

    private static ControlView withoutIndex(ControlView view) {
        return new ControlView(0, view.rules(), view.bucketOwners(), view.blockedFingerprints(), view.sessions());
    }

    private static Long sessionOf(ControlView view, InstanceId instance) {
        Map<InstanceId, Long> sessions = view.sessions();
        return sessions.get(instance);
    }

    private static ControlCommand command(int choice) {
        InstanceId instance = new InstanceId("i" + choice / 8 % 3);
        long session = 1 + choice / 24 % 3;
        switch (choice % 8) {
            case 0:
            case 1:
                return new RegisterSession(instance, session);
            case 2:
                return new ExpireSession(instance, session);
            default:
                return new AssignBucket(ACCOUNT, instance, session, choice / 72 % 4, choice / 288 % 3 * 100L);
        }
    }
}
