package org.basilrill.coordination.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;

/** Collects what the issuer sends in one step, one message for each instance. Not thread safe. */
final class IssueBatch {
    private final long term;
    private final List<Observation> limits = new ArrayList<>();
    private final Map<InstanceId, Map<TargetKey, PermitGrant>> grants = new HashMap<>();

    /** Creates an empty batch of the issuer of a term. */
    IssueBatch(long term) {
        this.term = term;
    }

    /** Adds a limit of which all instances are notified. */
    void addLimit(Observation limit) {
        limits.add(limit);
    }

    /** Adds a grant; the grants of one instance for one target are combined. */
    void grant(InstanceId instance, PermitGrant grant) {
        grants.computeIfAbsent(instance, absent -> new HashMap<>())
                .merge(
                        grant.target(),
                        grant,
                        (earlier, later) -> new PermitGrant(
                                grant.target(),
                                later.number(),
                                earlier.permits() + later.permits(),
                                later.waitMillis(),
                                later.intervalMillis(),
                                later.reportSequence()));
    }

    /** Returns whether a limit is to be sent to all instances. */
    boolean notifiesAll() {
        return !limits.isEmpty();
    }

    /** Returns the message for each recipient; limits go to all members. */
    Map<InstanceId, PermitIssue> messages(Collection<InstanceId> members) {
        Set<InstanceId> recipients = new HashSet<>(grants.keySet());
        if (!limits.isEmpty()) {
            recipients.addAll(members);
        }
        Map<InstanceId, PermitIssue> messages = new HashMap<>();
        for (InstanceId recipient : recipients) {
            List<PermitGrant> ofRecipient =
                    List.copyOf(grants.getOrDefault(recipient, Map.of()).values());
            messages.put(recipient, new PermitIssue(term, ofRecipient, limits));
        }
        return messages;
    }
}
