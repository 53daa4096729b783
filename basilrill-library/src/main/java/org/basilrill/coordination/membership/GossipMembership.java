package org.basilrill.coordination.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.membership.Fact.InstanceFact;
import org.basilrill.coordination.membership.Fact.InstanceLoadFact;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;

/**
 * Disseminates facts among instances by a push-pull exchange with one random member per period. Detects failed members
 * by versions that stop advancing. A fact published by this instance reaches every member that stays connected; facts
 * of one owner are never applied out of order. Thread safe; listeners run on the calling thread without a lock held.
 */
public final class GossipMembership implements Membership {
    /** Period of the exchange up to {@link #MAXIMUM_MEMBERS_AT_BASE_PERIOD} members. */
    static final Duration BASE_PERIOD = Duration.ofMillis(500);
    /** Above this number the period grows in proportion, so that the digest bytes per second stay bounded. */
    static final int MAXIMUM_MEMBERS_AT_BASE_PERIOD = 48;
    /** Periods without an advance after which a member is suspected: 3 s at the base period. */
    static final int SUSPICION_PERIODS = 6;
    /** Periods without an advance after which a member is removed: 30 s at the base period. */
    static final int REMOVAL_PERIODS = 60;
    /** Delay in which batched facts are collected, because each message goes to every member. */
    static final Duration BATCHING_DELAY = Duration.ofMillis(20);
    /** Periods in which the exchange brings a fact to nearly all members. */
    private static final int SPREADING_PERIODS = 5;
    /** Share of exchanges with a seed or suspected member, so that the two sides of a healed partition reconnect. */
    private static final double RECONNECT_SHARE = 0.2;

    private final InstanceId self;
    private volatile List<InstanceId> seeds;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final BiConsumer<InstanceId, GossipMessage> sender;
    private final GossipState state;
    private final ColdAges coldAges;
    private final List<BiConsumer<InstanceId, Fact>> listeners = new CopyOnWriteArrayList<>();
    private final List<Runnable> periodListeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean batchScheduled = new AtomicBoolean();
    private volatile boolean stopped;

    /**
     * Creates the membership of one instance.
     *
     * @param seeds instances to contact while no others are known
     * @param incarnation higher than in earlier runs of this instance; raised automatically if a peer knows a higher
     *     one
     * @param sender sends a message; messages may be lost
     */
    public GossipMembership(
            InstanceId self,
            List<InstanceId> seeds,
            long incarnation,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            BiConsumer<InstanceId, GossipMessage> sender) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
        this.clock = clock;
        this.scheduler = scheduler;
        this.random = random;
        this.sender = sender;
        this.coldAges = new ColdAges(clock);
        this.state = new GossipState(self, incarnation, clock.nanos());
    }

    /** Replaces the seeds, which are contacted while no other instances are known. */
    public void updateSeeds(List<InstanceId> instances) {
        seeds = instances.stream().filter(seed -> !seed.equals(self)).toList();
    }

    /** Starts the periodic exchange. */
    public void start() {
        scheduler.schedule(Duration.ZERO, this::exchange);
    }

    /** Stops the periodic exchange. */
    public void stop() {
        stopped = true;
    }

    /** Publishes a fact, which the next exchanges disseminate. */
    public void publish(Fact fact) {
        state.publish(coldAges.stamped(fact));
    }

    /** Publishes a fact and sends it to every member immediately. For facts that must arrive within one period. */
    public void publishUrgently(Fact fact) {
        long before = state.ownVersion();
        state.publish(coldAges.stamped(fact));
        sendOwnDeltaToAll(before);
    }

    /**
     * Publishes a fact and sends it to every member after {@link #BATCHING_DELAY}, together with those published in the
     * meantime.
     */
    public void publishBatched(Fact fact) {
        long before = state.ownVersion();
        state.publish(coldAges.stamped(fact));
        if (batchScheduled.compareAndSet(false, true)) {
            scheduler.schedule(BATCHING_DELAY, () -> {
                batchScheduled.set(false);
                sendOwnDeltaToAll(before);
            });
        }
    }

    /** Sends every member the facts that this instance published after a version, and a few earlier ones. */
    private void sendOwnDeltaToAll(long version) {
        OwnerDelta delta = state.urgentDeltaAfter(version);
        GossipMessage message = new GossipMessage(Optional.empty(), coldAges.sent(List.of(delta)), false);
        for (InstanceId member : state.lastAdvances().keySet()) {
            if (!member.equals(self)) {
                sender.accept(member, message);
            }
        }
    }

    /** Adds a listener that receives each new fact of another instance. */
    public void onFact(BiConsumer<InstanceId, Fact> listener) {
        listeners.add(listener);
    }

    /** Adds a listener that runs once per period, before the exchange. */
    public void onPeriod(Runnable listener) {
        periodListeners.add(listener);
    }

    /** Returns the time in which a fact that is not urgent reaches nearly all members. */
    public Duration spreadingTime() {
        return period().multipliedBy(SPREADING_PERIODS);
    }

    /** Returns the time since the version of a member last advanced; zero if the member is unknown. */
    public Duration timeSinceAdvance(InstanceId owner) {
        return state.lastAdvance(owner)
                .map(advancedAt -> Duration.ofNanos(clock.nanos() - advancedAt))
                .orElse(Duration.ZERO);
    }

    /** Returns the facts of one type that a member has published. */
    public <T extends Fact> List<T> facts(InstanceId owner, Class<T> type) {
        return state.facts(owner, type).stream()
                .map(fact -> coldAges.aged(fact, type))
                .toList();
    }

    /** Handles a message of another instance. */
    public void received(InstanceId from, GossipMessage message) {
        long now = clock.nanos();
        Map<InstanceId, List<Fact>> newFacts = state.apply(coldAges.received(message.deltas()), now);
        message.digest().ifPresent(digest -> {
            state.raiseIncarnationAbove(digest, now);
            List<OwnerDelta> deltas = coldAges.sent(state.deltasFor(digest, now));
            if (message.responseRequested()) {
                sender.accept(from, new GossipMessage(Optional.of(state.digest()), deltas, false));
            } else if (!deltas.isEmpty()) {
                sender.accept(from, new GossipMessage(Optional.empty(), deltas, false));
            }
        });
        newFacts.forEach(
                (owner, facts) -> facts.forEach(fact -> listeners.forEach(listener -> listener.accept(owner, fact))));
    }

    @Override
    public Collection<Member> members() {
        List<Member> members = new ArrayList<>();
        state.lastAdvances()
                .forEach((owner, advancedAt) -> memberOf(owner, advancedAt).ifPresent(members::add));
        return members;
    }

    @Override
    public Optional<Member> member(InstanceId id) {
        return state.lastAdvance(id).flatMap(advancedAt -> memberOf(id, advancedAt));
    }

    private Optional<Member> memberOf(InstanceId owner, long advancedAtNanos) {
        return state.fact(owner, InstanceFact.class)
                .map(fact -> new Member(
                        owner,
                        fact.dataCentre(),
                        fact.callerAddress(),
                        fact.peerAddress(),
                        !owner.equals(self) && isOlderThan(advancedAtNanos, SUSPICION_PERIODS),
                        fact.draining(),
                        fact.current(),
                        fact.revision(),
                        state.fact(owner, InstanceLoadFact.class)
                                .map(InstanceLoadFact::requestsInFlight)
                                .orElse(0),
                        fact.replica(),
                        fact.relay(),
                        fact.cutFromTargets(),
                        fact.forwardsMessages()));
    }

    private void exchange() {
        if (stopped) {
            return;
        }
        // In a finally block, like other periodic work: a listener that fails once must not end the exchange for good.
        try {
            exchangeOnce();
        } finally {
            scheduler.schedule(period(), this::exchange);
        }
    }

    private void exchangeOnce() {
        state.advance(clock.nanos());
        periodListeners.forEach(Runnable::run);
        removeUnresponsiveMembers();
        chooseMember()
                .ifPresent(member ->
                        sender.accept(member, new GossipMessage(Optional.of(state.digest()), List.of(), true)));
    }

    private Optional<InstanceId> chooseMember() {
        List<InstanceId> responsive = new ArrayList<>();
        List<InstanceId> reconnectCandidates = new ArrayList<>(seeds);
        state.lastAdvances().forEach((owner, advancedAt) -> {
            if (owner.equals(self)) {
                return;
            }
            if (isOlderThan(advancedAt, SUSPICION_PERIODS)) {
                reconnectCandidates.add(owner);
            } else {
                responsive.add(owner);
            }
        });
        boolean reconnect = responsive.isEmpty() || random.nextDouble() < RECONNECT_SHARE;
        List<InstanceId> candidates = reconnect && !reconnectCandidates.isEmpty() ? reconnectCandidates : responsive;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private void removeUnresponsiveMembers() {
        state.lastAdvances().forEach((owner, advancedAt) -> {
            if (!owner.equals(self) && isOlderThan(advancedAt, REMOVAL_PERIODS)) {
                state.remove(owner);
            }
        });
    }

    private Duration period() {
        int members = state.size();
        if (members <= MAXIMUM_MEMBERS_AT_BASE_PERIOD) {
            return BASE_PERIOD;
        }
        return Duration.ofNanos(BASE_PERIOD.toNanos() * members / MAXIMUM_MEMBERS_AT_BASE_PERIOD);
    }

    private boolean isOlderThan(long advancedAtNanos, int periods) {
        return clock.nanos() - advancedAtNanos > period().toNanos() * periods;
    }
}
