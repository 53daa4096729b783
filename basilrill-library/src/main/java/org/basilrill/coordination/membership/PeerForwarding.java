package org.basilrill.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.membership.Membership.Member;

/**
 * Decides which messages to other instances are passed on by a third one, because the link to their recipient is down
 * although the recipient lives. A message takes one hop at most: what an instance passes on is sent directly, whatever
 * the state of that link. Thread safe.
 */
public final class PeerForwarding {
    private final InstanceId self;
    private final String dataCentre;
    private final Membership membership;
    private final RandomGenerator random;
    private final LinkStates links;
    private final ForwardingAllowance allowance;

    /**
     * Creates the decisions of one instance; all links count as up.
     *
     * @param random used only under the lock of this object
     */
    public PeerForwarding(
            InstanceId self, String dataCentre, Membership membership, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.membership = membership;
        this.random = random;
        this.links = new LinkStates(clock);
        this.allowance = new ForwardingAllowance(clock);
    }

    /**
     * The ways that one message takes.
     *
     * @param direct whether it is sent to its recipient
     * @param forwarder instance that passes it on, if any
     */
    public record Route(boolean direct, Optional<InstanceId> forwarder) {
        private static final Route DIRECT = new Route(true, Optional.empty());
    }

    /** Returns the ways of a new message. */
    public Route route(InstanceId recipient, PeerSubject subject, int bytes) {
        if (!links.isDown(recipient) || !isForwardable(subject)) {
            return Route.DIRECT;
        }
        Optional<InstanceId> forwarder = forwarder(recipient);
        if (forwarder.isEmpty()) {
            return Route.DIRECT;
        }
        boolean probe = links.isProbeDue(recipient);
        return new Route(probe, forwarder.filter(chosen -> allowance.admits(bytes)));
    }

    /** Returns the instance that passes on a message which was not delivered directly; empty if none does. */
    public Optional<InstanceId> forwarderOfUndelivered(InstanceId recipient, PeerSubject subject, int bytes) {
        return isForwardable(subject)
                ? forwarder(recipient).filter(chosen -> allowance.admits(bytes))
                : Optional.empty();
    }

    /** Returns whether this instance passes on a message for another one now. */
    public boolean passesOn(InstanceId recipient, PeerSubject subject, int bytes) {
        return !recipient.equals(self) && isForwardable(subject) && allowance.admits(bytes);
    }

    /** Records that a message was delivered directly. */
    public void delivered(InstanceId recipient) {
        links.delivered(recipient);
    }

    /** Records that a message was not delivered directly. */
    public void failed(InstanceId recipient) {
        links.failed(recipient);
    }

    /**
     * Records that a message of an instance was passed on to this one. The link is then probably down in this direction
     * too, and the response must not wait until that is found.
     */
    public void receivedByForwarder(InstanceId origin) {
        links.presumeDown(origin);
    }

    /** Returns the number of links that are down at present. */
    public int linksDown() {
        return links.numberDown();
    }

    /** Messages between replicas stay on their own links; see docs/design/peer-forwarding.md. */
    private static boolean isForwardable(PeerSubject subject) {
        return subject != PeerSubject.CONSENSUS;
    }

    /**
     * Returns a random instance in a data centre other than those of both ends. Nothing is passed on to a recipient
     * that is suspected: it has probably ended, as the membership reaches it by way of all others.
     */
    private Optional<InstanceId> forwarder(InstanceId recipient) {
        Optional<Member> known = membership.member(recipient).filter(member -> !member.suspected());
        if (known.isEmpty()) {
            return Optional.empty();
        }
        List<InstanceId> usable = new ArrayList<>();
        for (Member member : membership.members()) {
            if (isUsable(member) && !member.dataCentre().equals(known.get().dataCentre())) {
                usable.add(member.id());
            }
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        synchronized (this) {
            return Optional.of(usable.get(random.nextInt(usable.size())));
        }
    }

    private boolean isUsable(Member member) {
        return member.forwardsMessages()
                && member.current()
                && !member.suspected()
                && !member.draining()
                && !member.dataCentre().equals(dataCentre)
                && !links.isDown(member.id());
    }
}
