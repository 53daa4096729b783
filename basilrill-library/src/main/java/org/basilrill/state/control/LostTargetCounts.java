package org.basilrill.state.control;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.thrift.control.CrashState;

/**
 * Requests during which targets were lost, by fingerprint, as builds before {@link FormatLevel#CRASH_EVIDENCE} judge
 * them: each target counts once, however often it restarts, and no response clears a request. While such replicas may
 * run, their records must have the same effect here. Not thread safe.
 */
final class LostTargetCounts {
    /** Number of distinct lost targets from which on every instance refuses a request. */
    static final int BLOCKING_TARGETS = 2;

    private static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

    /** All requests that ran on a lost target are reported, so many suspects are harmless; the oldest are dropped. */
    private static final int MAXIMUM_SUSPECTS = 4_096;

    /** Suspects ordered by their last change, oldest first. */
    private final LinkedHashMap<String, Suspect> suspects = new LinkedHashMap<>();

    /** Returns the number of distinct targets lost during requests with the fingerprint. */
    int report(ReportCrash command, long nowMillis) {
        Suspect known = suspects.get(command.fingerprint());
        TreeSet<TargetId> targets = known == null ? new TreeSet<>() : known.targets();
        if (targets.size() < BLOCKING_TARGETS && targets.add(command.target())) {
            suspects.remove(command.fingerprint());
            suspects.put(command.fingerprint(), new Suspect(targets, nowMillis));
            dropOldest();
        }
        return targets.size();
    }

    /** Drops suspects that have not changed for the retention time; returns whether any was dropped. */
    boolean expire(long nowMillis) {
        boolean expired = false;
        Iterator<Suspect> oldest = suspects.values().iterator();
        while (oldest.hasNext() && nowMillis - oldest.next().changedMillis() > RETENTION_MILLIS) {
            oldest.remove();
            expired = true;
        }
        return expired;
    }

    void clear() {
        suspects.clear();
    }

    Set<String> blocked() {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().targets().size() >= BLOCKING_TARGETS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    List<CrashState> state() {
        return suspects.entrySet().stream()
                .map(entry -> new CrashState(
                        entry.getKey(),
                        entry.getValue().targets().stream().map(TargetId::value).toList(),
                        entry.getValue().changedMillis()))
                .toList();
    }

    void restore(List<CrashState> state) {
        suspects.clear();
        for (CrashState suspect : state) {
            TreeSet<TargetId> targets = new TreeSet<>();
            suspect.getTargets().forEach(target -> targets.add(new TargetId(target)));
            suspects.put(suspect.getFingerprint(), new Suspect(targets, suspect.getChangedMillis()));
        }
    }

    /** Drops the oldest request that is not blocked, or the oldest one if all are blocked. */
    private void dropOldest() {
        if (suspects.size() <= MAXIMUM_SUSPECTS) {
            return;
        }
        String oldest = suspects.entrySet().stream()
                .filter(entry -> entry.getValue().targets().size() < BLOCKING_TARGETS)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(() -> suspects.keySet().iterator().next());
        suspects.remove(oldest);
    }

    /** Targets lost during one request. */
    private record Suspect(TreeSet<TargetId> targets, long changedMillis) {}
}
