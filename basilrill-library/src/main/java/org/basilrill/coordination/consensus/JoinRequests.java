package org.basilrill.coordination.consensus;

import java.util.Collection;
import java.util.SortedSet;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.ConsensusMessage.JoinRequest;

/** Requests of one replica to be admitted to the cluster, to all instances it knows. Not thread safe. */
final class JoinRequests {
    private final ReplicaState state;
    private final SortedSet<InstanceId> contacts;
    private long nextAt;

    /**
     * Creates the requests of a replica.
     *
     * @param contacts instances that receive them, in addition to the members in the log
     */
    JoinRequests(ReplicaState state, Collection<InstanceId> contacts) {
        this.state = state;
        this.contacts = new TreeSet<>(contacts);
    }

    void addContacts(Collection<InstanceId> instances) {
        contacts.addAll(instances);
    }

    /** Sends the requests unless they were sent a short time ago. */
    void sendIfDue() {
        if (state.now() < nextAt) {
            return;
        }
        nextAt = state.now() + state.settings().joinInterval().toNanos();
        SortedSet<InstanceId> recipients = new TreeSet<>(contacts);
        state.log().members().voters().forEach(voter -> recipients.add(voter.instance()));
        recipients.remove(state.self().instance());
        recipients.forEach(instance -> state.sendToAnyIncarnation(instance, new JoinRequest()));
    }
}
