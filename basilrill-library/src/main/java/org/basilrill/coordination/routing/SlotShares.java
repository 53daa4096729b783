package org.basilrill.coordination.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Divides the slots of the targets of one service among the instances, so that all instances together use no more than
 * there are. Each instance computes the same division without a message, as long as all know the same targets and
 * instances. Stateless and thread safe.
 */
final class SlotShares {
    private SlotShares() {}

    /**
     * Returns the slots of each target that one instance may use. The slots are dealt out one after the other, so the
     * shares of two instances differ by at most one slot in all.
     *
     * <p>An instance gets at least one slot of each engine, because a model may be resident in one engine only, and at
     * least one slot in all. The shares exceed the slots where there are fewer of them than instances.
     *
     * @param targets targets of the service, in an order that is the same at all instances
     * @param instances all instances, in an order that is the same at all of them
     */
    static Map<TargetId, Integer> of(
            List<TargetAnnouncement> targets, List<InstanceId> instances, InstanceId instance) {
        int count = Math.max(1, instances.size());
        int position = Math.max(0, instances.indexOf(instance));
        Map<TargetId, Integer> shares = new HashMap<>();
        int dealt = 0;
        int total = 0;
        for (TargetAnnouncement target : targets) {
            int first = Math.floorMod(position - dealt, count);
            int share = target.slots() <= first ? 0 : 1 + (target.slots() - 1 - first) / count;
            int minimum = target.contents().isEmpty() ? 0 : 1;
            shares.put(target.id(), Math.max(minimum, share));
            dealt = (dealt + target.slots()) % count;
            total += Math.max(minimum, share);
        }
        if (total == 0 && !targets.isEmpty()) {
            shares.put(targets.get(position % targets.size()).id(), 1);
        }
        return shares;
    }
}
