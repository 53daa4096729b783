package org.basilrill.coordination.routing;

import java.util.List;
import java.util.SplittableRandom;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Estimates the prompt tokens that targets have cached: the prefixes that this instance sent there, or the shared
 * prefix if all instances prefer the target for it. Thread safe.
 */
final class CachedTokens {
    private static final int NONE = -1;

    private final PrefixAffinity affinity;
    private final RoutingOptions options;

    CachedTokens(PrefixAffinity affinity, RoutingOptions options) {
        this.affinity = affinity;
        this.options = options;
    }

    /** Returns the index of the target that all instances prefer for the shared prefix; -1 if none is shared. */
    int preferred(Prompt prompt, List<TargetAnnouncement> free) {
        int shared = prompt.sharedParts();
        if (shared == 0 || free.isEmpty()) {
            return NONE;
        }
        long prefixHash = prompt.prefixHashes().get(shared - 1);
        int preferred = 0;
        long highest = preference(free.get(0), prefixHash);
        for (int index = 1; index < free.size(); index++) {
            long weight = preference(free.get(index), prefixHash);
            if (weight > highest) {
                highest = weight;
                preferred = index;
            }
        }
        return preferred;
    }

    /** Returns the estimated number of tokens of the prompt that the target has cached. */
    double of(TargetAnnouncement target, Prompt prompt, boolean preferred) {
        double tracked = tracked(target, prompt);
        return preferred
                ? Math.max(tracked, options.preferredCachedFraction() * prompt.tokensOfFirstParts(prompt.sharedParts()))
                : tracked;
    }

    /** Returns the number of tokens of the prompt that this instance sent to the target earlier. */
    double tracked(TargetAnnouncement target, Prompt prompt) {
        return affinity.cachedTokens(target.id(), target.incarnation(), prompt);
    }

    /** Returns the rendezvous weight of a target for a prefix; all instances compute the same without communication. */
    private static long preference(TargetAnnouncement target, long prefixHash) {
        return new SplittableRandom(prefixHash ^ ((long) target.id().value().hashCode() << 32)).nextLong();
    }
}
