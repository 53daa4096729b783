package org.basilrill.transport.threads;

import org.basilrill.api.InstanceId;
import org.basilrill.transport.threads.ControlLogLivenessTest.Fault;
import org.basilrill.transport.threads.ControlLogLivenessTest.Kind;

/** Begins and ends faults of a virtual deployment. Faults may overlap. */
final class FaultPlayer {
    /** Time of one change of a slow disk, in microseconds: a hundred times that of a sound one. */
    private static final long SLOW_CHANGE = 10_000;

    private static final int MEMBERS_MILLISECONDS = 8_000;

    private final VirtualDeployment deployment;
    private long elapsed;
    private long lastEnd;

    FaultPlayer(VirtualDeployment deployment) {
        this.deployment = deployment;
    }

    /** Begins a fault and runs the deployment until the next one. */
    void play(Fault fault) {
        InstanceId chosen = choose(fault);
        long duration = fault.milliseconds();
        switch (fault.kind()) {
            case FULL_DISK, FULL_DISK_OF_LEADER -> {
                deployment.disk(chosen).setFull(true);
                endAfter(duration, () -> deployment.disk(chosen).setFull(false));
            }
            case FAILING_WRITE -> deployment.disk(chosen).failAfter(fault.argument() % 12);
            case HANGING_DISK -> {
                deployment.hangDisk(chosen, duration);
                endAfter(duration, () -> {});
            }
            case SLOW_DISK -> {
                deployment.setChangeMicroseconds(chosen, SLOW_CHANGE * (1 + fault.argument() % 10));
                endAfter(duration, () -> deployment.resetDiskSpeed(chosen));
            }
            case KILL, LOSE_POWER -> {
                deployment.kill(chosen, fault.kind() == Kind.LOSE_POWER);
                endAfter(duration, () -> deployment.start(chosen));
            }
            case REPLACE_DISK -> replaceDisk(chosen);
            case FREEZE -> {
                deployment.freeze(chosen, duration);
                endAfter(duration, () -> {});
            }
            case CUT, CUT_OF_LEADER -> {
                deployment.isolate(chosen);
                endAfter(duration, () -> deployment.rejoin(chosen));
            }
            case LOSE_MESSAGES -> {
                deployment.setLossPercent(5 + fault.argument() % 30);
                endAfter(duration, () -> deployment.setLossPercent(0));
            }
            default -> throw new IllegalArgumentException(fault.toString());
        }
        run(fault.gapMilliseconds());
    }

    /** Runs the deployment until all faults have ended. */
    void awaitEnds() {
        run(Math.max(0, lastEnd - elapsed));
    }

    private InstanceId choose(Fault fault) {
        InstanceId byNumber = deployment.instance(fault.argument() % deployment.size());
        boolean ofLeader = fault.kind() == Kind.FULL_DISK_OF_LEADER || fault.kind() == Kind.CUT_OF_LEADER;
        return ofLeader ? deployment.leader().orElse(byNumber) : byNumber;
    }

    /** Replaces a disk only while all others are members, because no log survives the loss of a majority. */
    private void replaceDisk(InstanceId chosen) {
        deployment.setProposing(false);
        boolean sound = false;
        for (int waited = 0; waited < MEMBERS_MILLISECONDS && !sound; waited += 10) {
            run(10);
            sound = deployment.othersAreSoundMembers(chosen);
        }
        deployment.setProposing(true);
        if (sound) {
            deployment.replaceDisk(chosen);
        }
    }

    private void endAfter(long milliseconds, Runnable end) {
        lastEnd = Math.max(lastEnd, elapsed + milliseconds);
        deployment.after(milliseconds, end);
    }

    private void run(long milliseconds) {
        deployment.run(milliseconds);
        elapsed += milliseconds;
    }
}
