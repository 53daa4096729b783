package org.basilrill.coordination.routing;

import java.util.List;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;

/**
 * Divides the places at a recovering target among the instances. Each instance computes the same division without a
 * message, as long as all know the same instances and count the same turns. With more instances than places, some have
 * none, and the places pass on with each turn, so that each instance has one again after as many turns as there are
 * instances for a place. Immutable and thread safe.
 *
 * @param count number of instances, at least 1
 * @param position position of this instance in an order that is the same at all instances
 */
record PlaceTurns(int count, int position) {
    /** Turns for which an instance may keep a place that it has not used. */
    private static final int LONGEST_HOLD = 8;
    /** Part of the instances that may keep a place at once. */
    private static final int INSTANCES_PER_HELD_PLACE = 8;

    /** Returns the turns of one instance among others, which are given in any order. */
    static PlaceTurns of(InstanceId instance, List<InstanceId> instances) {
        return new PlaceTurns(
                Math.max(1, instances.size()),
                Math.max(0, instances.stream().sorted().toList().indexOf(instance)));
    }

    /**
     * Returns the places of this instance in a turn.
     *
     * @param places places of all instances together
     */
    int share(TargetId target, int places, long turn) {
        int remainder = places % count;
        long first = target.hashCode() + turn * remainder;
        boolean hasOneMore = Math.floorMod(position - first, (long) count) < remainder;
        return places / count + (hasOneMore ? 1 : 0);
    }

    /**
     * Returns the places of this instance in a turn, with those of earlier turns that it has not used. With many
     * instances, few have a request in the very turn in which they have a place; without the earlier ones, most places
     * pass unused and the target stays idle.
     *
     * @param usedTurn turn in which the instance last used a place
     */
    int heldShare(TargetId target, int places, long turn, long usedTurn) {
        int hold = Math.max(1, Math.min(LONGEST_HOLD, count / (INSTANCES_PER_HELD_PLACE * places)));
        int held = share(target, places, turn);
        for (long earlier = Math.max(turn - hold, usedTurn) + 1; earlier < turn; earlier++) {
            held = Math.max(held, share(target, places, earlier));
        }
        return held;
    }
}
