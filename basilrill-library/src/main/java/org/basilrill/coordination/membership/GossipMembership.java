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
 * Spreads facts among instances by push-pull exchange with one random member a period, and detects failed members by
 * versions that stop advancing. A fact published by this instance reaches every member that stays connected; facts of
 * one owner are never applied out of order. Thread safe; listeners run on the calling thread without a lock held.
 */
public final class GossipMembership implements Membership {
    /** Period of the exchange up to {@link #MEMBERS_AT_FULL_PACE} members. */
    static final Duration BASE_PERIOD = Duration.ofMillis(500);
    /** Above this number the period grows in proportion, so that the digest bytes a second stay bounded. */
    static final int MEMBERS_AT_FULL_PACE = 48;
    /** Periods without an advance after which a member is suspected: 3 s at the base period. */
    static final int SUSPICION_PERIODS = 6;
    /** Periods without an advance after which a member is removed: 30 s at the base period. */
    static final int REMOVAL_PERIODS = 60;
    /** Facts told soon wait this long for others, as each message goes to every member. */
    static final Duration GATHERING_TIME = Duration.ofMillis(20);
    /** Share of exchanges with a seed or suspected member, so that two halves of a healed partition meet again. */
    private static final double RECONNECT_SHARE = 0.2;

    /** Urgent messages repeat the latest changes, so that they also reach members a few periods behind. */
    private static final int URGENT_OVERLAP_VERSIONS = 16;

    private final InstanceId self;
    private volatile List<InstanceId> seeds;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final BiConsumer<InstanceId, GossipMessage> sender;
    private final GossipState state;
    private final List<BiConsumer<InstanceId, Fact>> listeners = new CopyOnWriteArrayList<>();
    private final List<Runnable> tickListeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean gathering = new AtomicBoolean();
    private volatile boolean stopped;

    /**
     * Creates the membership of one instance.
     *
     * @param seeds instances to contact while no others are known
     * @param incarnation higher than in earlier runs of this instance; raised by itself if it turns out not to be
     * @param sender sends a message; may lose it
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
        this.state = new GossipState(self, incarnation, clock.nanos());
    }

    /** Takes instances to contact while no others are known, in place of those known so far. */
    public void learnSeeds(List<InstanceId> instances) {
        seeds = instances.stream().filter(seed -> !seed.equals(self)).toList();
    }

    /** Starts the periodic exchange. */
    public void start() {
        scheduler.schedule(Duration.ZERO, this::exchange);
    }

    /** Ends the periodic exchange. */
    public void stop() {
        stopped = true;
    }

    /** Publishes a fact; it spreads with the next exchanges. */
    public void publish(Fact fact) {
        state.publish(fact);
    }

    /** Publishes a fact and sends it to every member at once, for facts that must arrive within one period. */
    public void publishUrgently(Fact fact) {
        long before = state.ownVersion();
        state.publish(fact);
        tellAll(before);
    }

    /** Publishes a fact and sends it to every member within a moment, together with those that follow in it. */
    public void publishSoon(Fact fact) {
        long before = state.ownVersion();
        state.publish(fact);
        if (gathering.compareAndSet(false, true)) {
            scheduler.schedule(GATHERING_TIME, () -> {
                gathering.set(false);
                tellAll(before);
            });
        }
    }

    /** Sends every member what this instance has published after a version, and a little of what it did before. */
    private void tellAll(long version) {
        OwnerDelta delta = state.ownDeltaAfter(Math.max(0, version - URGENT_OVERLAP_VERSIONS));
        GossipMessage message = new GossipMessage(Optional.empty(), List.of(delta), false);
        for (InstanceId member : state.lastAdvances().keySet()) {
            if (!member.equals(self)) {
                sender.accept(member, message);
            }
        }
    }

    /** Calls the listener with each new fact of another instance. */
    public void onFact(BiConsumer<InstanceId, Fact> listener) {
        listeners.add(listener);
    }

    /** Calls the listener once a period, before the exchange. */
    public void onPeriod(Runnable listener) {
        tickListeners.add(listener);
    }

    /** Returns how long nothing was heard of a member; zero if it is not known. */
    public Duration silenceOf(InstanceId owner) {
        return state.lastAdvance(owner)
                .map(advancedAt -> Duration.ofNanos(clock.nanos() - advancedAt))
                .orElse(Duration.ZERO);
    }

    /** Returns the facts of one type that a member has published. */
    public <T extends Fact> List<T> facts(InstanceId owner, Class<T> type) {
        return state.facts(owner, type);
    }

    /** Handles a message of another instance. */
    public void received(InstanceId from, GossipMessage message) {
        long now = clock.nanos();
        Map<InstanceId, List<Fact>> news = state.apply(message.deltas(), now);
        message.digest().ifPresent(digest -> {
            state.outrank(digest, now);
            List<OwnerDelta> deltas = state.deltasFor(digest, now);
            if (message.question()) {
                sender.accept(from, new GossipMessage(Optional.of(state.digest()), deltas, false));
            } else if (!deltas.isEmpty()) {
                sender.accept(from, new GossipMessage(Optional.empty(), deltas, false));
            }
        });
        news.forEach(
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
                        fact.replica()));
    }

    private void exchange() {
        if (stopped) {
            return;
        }
        state.advance(clock.nanos());
        tickListeners.forEach(Runnable::run);
        removeSilentMembers();
        chooseMember()
                .ifPresent(member ->
                        sender.accept(member, new GossipMessage(Optional.of(state.digest()), List.of(), true)));
        scheduler.schedule(period(), this::exchange);
    }

    private Optional<InstanceId> chooseMember() {
        List<InstanceId> live = new ArrayList<>();
        List<InstanceId> others = new ArrayList<>(seeds);
        state.lastAdvances().forEach((owner, advancedAt) -> {
            if (owner.equals(self)) {
                return;
            }
            if (isOlderThan(advancedAt, SUSPICION_PERIODS)) {
                others.add(owner);
            } else {
                live.add(owner);
            }
        });
        boolean reconnect = live.isEmpty() || random.nextDouble() < RECONNECT_SHARE;
        List<InstanceId> candidates = reconnect && !others.isEmpty() ? others : live;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private void removeSilentMembers() {
        state.lastAdvances().forEach((owner, advancedAt) -> {
            if (!owner.equals(self) && isOlderThan(advancedAt, REMOVAL_PERIODS)) {
                state.remove(owner);
            }
        });
    }

    private Duration period() {
        int members = state.size();
        if (members <= MEMBERS_AT_FULL_PACE) {
            return BASE_PERIOD;
        }
        return Duration.ofNanos(BASE_PERIOD.toNanos() * members / MEMBERS_AT_FULL_PACE);
    }

    private boolean isOlderThan(long advancedAtNanos, int periods) {
        return clock.nanos() - advancedAtNanos > period().toNanos() * periods;
    }
}
