package org.basilrill.state.control;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.TargetId;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesParser;
import org.basilrill.state.control.ControlCommand.AssignBucket;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.FinishOrder;
import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.RegisterVersion;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.StreamVersion;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.MemoryLedger;
import org.basilrill.state.log.ReplicatedStateMachine;
import org.basilrill.thrift.control.MachineState;
import org.basilrill.thrift.control.ViewMessage;

/**
 * The control state: rules, claims of orders, bucket owners, sessions, requests and prompt parts that crash targets,
 * evacuated data centres and the memory ledger. Time is the largest time that a command carried, so it never goes back.
 * Thread safe: the log applies commands on one thread while others read.
 */
public final class ControlStateMachine implements ReplicatedStateMachine {
    private final RulesRegister rules;
    private final Sessions sessions = new Sessions();
    private final OrderClaims claims = new OrderClaims();
    private final BucketOwners buckets = new BucketOwners();
    private final CrashSuspects suspects = new CrashSuspects();
    private final StreamVersions streamVersions = new StreamVersions();
    private final Evacuations evacuations = new Evacuations();
    private final MemoryLedger ledger = new MemoryLedger();
    private long lastIndex;
    private long nowMillis;
    private volatile Published published = new Published(ControlView.empty(), "");

    /** Creates the initial state, with rules in the format of {@link RulesParser}. */
    public ControlStateMachine() {
        this(RulesParser::parse);
    }

    /** Creates the initial state, with rules in the given format; the same on every replica. */
    public ControlStateMachine(RulesFormat format) {
        rules = new RulesRegister(format);
    }

    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        lastIndex = index;
        return ResultCodec.encode(applyDecoded(index, command));
    }

    @Override
    public synchronized byte[] snapshot() {
        MachineState state = new MachineState(
                lastIndex,
                published.view().index(),
                nowMillis,
                rules.state(),
                claims.state(),
                buckets.state(),
                sessions.openState(),
                sessions.endedState(),
                List.of(),
                ledger.state());
        suspects.addTo(state);
        state.setVersions(streamVersions.versionState());
        state.setStreams(streamVersions.streamState());
        state.setEvacuations(evacuations.evacuatedState());
        state.setEndedEvacuations(evacuations.endedState());
        state.setEvacuationCommands(evacuations.attemptState());
        return ThriftCodec.encode(state);
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        MachineState state = ThriftCodec.decode(MachineState::new, snapshot);
        lastIndex = state.getLastIndex();
        nowMillis = state.getNowMillis();
        rules.restore(state.getRules());
        claims.restore(state.getClaims());
        buckets.restore(state.getBuckets());
        sessions.restore(state.getOpenSessions(), state.getEndedSessions());
        suspects.restore(state);
        ledger.restore(state.getLedger());
        streamVersions.restore(
                Optional.ofNullable(state.getVersions()).orElse(List.of()),
                Optional.ofNullable(state.getStreams()).orElse(List.of()));
        evacuations.restore(
                Optional.ofNullable(state.getEvacuations()).orElse(List.of()),
                Optional.ofNullable(state.getEndedEvacuations()).orElse(List.of()),
                Optional.ofNullable(state.getEvacuationCommands()).orElse(List.of()));
        published = new Published(view(state.getViewIndex()), rules.text());
    }

    /** Returns the part of the state that is distributed to every instance; its index is that of its last change. */
    public ControlView view() {
        return published.view();
    }

    /**
     * Returns the message that carries the current view; omits the rules if the recipient has their revision already.
     */
    public ViewMessage viewMessage(long knownRevision) {
        Published current = published;
        return ViewCodec.toMessage(current.view(), current.rulesText(), knownRevision);
    }

    /** Returns the text of the rules in force; empty before the first revision. */
    public String rulesText() {
        return published.rulesText();
    }

    /** Returns the memory ledger, ordered by target. Up to date only on a replica that has just confirmed its state. */
    public synchronized List<LedgerRow> ledgerRows() {
        return ledger.rows();
    }

    /** Returns the ledger row of one target; empty if the target was never observed. */
    public synchronized Optional<LedgerRow> ledgerRow(TargetId target) {
        return ledger.row(target);
    }

    /** Returns the index of the last applied command. */
    public synchronized long lastIndex() {
        return lastIndex;
    }

    private ControlResult applyDecoded(long index, byte[] encoded) {
        ControlCommand command;
        try {
            command = CommandCodec.decode(encoded);
        } catch (BasilrillException exception) {
            return new Refused(exception.code(), exception.getMessage());
        }
        if (command instanceof IntendOrder intend) {
            return ledger.intend(index, intend);
        }
        if (command instanceof ResolveOrder resolve) {
            return ledger.resolve(resolve);
        }
        if (command instanceof ObserveTarget observe) {
            return ledger.observe(observe);
        }
        if (command instanceof FinishOrder finish) {
            return claims.finish(finish, nowMillis);
        }
        if (command instanceof ClaimOrder claim) {
            if (advance(claim.nowMillis())) {
                publish(index);
            }
            return claims.claim(claim, sessions, nowMillis);
        }
        if (command instanceof RecordStreams record) {
            if (advance(record.nowMillis())) {
                publish(index);
            }
            streamVersions.record(record, nowMillis);
            return new Done();
        }
        if (command instanceof FindStream find) {
            if (advance(find.nowMillis())) {
                publish(index);
            }
            return new StreamVersion(streamVersions.find(find, nowMillis));
        }
        ControlResult result = applyToView(index, command);
        publish(index);
        return result;
    }

    /** Applies a command that may change the view. */
    private ControlResult applyToView(long index, ControlCommand command) {
        if (command instanceof ReplaceRules replace) {
            return rules.replace(replace);
        }
        if (command instanceof InstallRules install) {
            return rules.install(install);
        }
        if (command instanceof RegisterVersion register) {
            streamVersions.register(register);
            return new Done();
        }
        if (command instanceof RetireVersion retire) {
            advance(retire.nowMillis());
            streamVersions.retire(retire, nowMillis);
            return new Done();
        }
        if (command instanceof BeginEvacuation begin) {
            return evacuations.begin(index, begin);
        }
        if (command instanceof EndEvacuation end) {
            return evacuations.end(index, end);
        }
        if (command instanceof AssignBucket assign) {
            return buckets.assign(assign, sessions);
        }
        if (command instanceof RegisterSession register) {
            return register(new Sessions.Session(register.instance(), register.sessionId()));
        }
        if (command instanceof ExpireSession expire) {
            return expire(expire);
        }
        CrashSuspects.timeOf(command).ifPresent(this::advance);
        return suspects.apply(command, nowMillis)
                .orElseThrow(() -> new BasilrillException(ErrorCode.INTERNAL, "no effect for " + command.getClass()));
    }

    private ControlResult expire(ExpireSession expire) {
        Sessions.Session session = new Sessions.Session(expire.instance(), expire.sessionId());
        claims.sessionEnded(session, nowMillis);
        return sessions.expire(session);
    }

    private ControlResult register(Sessions.Session session) {
        Optional<ControlResult> refusal = sessions.refusal(session);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        sessions.register(session).ifPresent(replaced -> claims.sessionEnded(replaced, nowMillis));
        return new Done();
    }

    /** Advances the time; returns whether this changes the view. */
    private boolean advance(long millis) {
        nowMillis = Math.max(nowMillis, millis);
        claims.expire(nowMillis);
        return suspects.expire(nowMillis) | streamVersions.expire(nowMillis);
    }

    private void publish(long index) {
        ControlView next = view(index);
        ControlView current = published.view();
        boolean changed = next.rules().revision() != current.rules().revision()
                || !next.bucketOwners().equals(current.bucketOwners())
                || !next.blockedFingerprints().equals(current.blockedFingerprints())
                || !next.suspects().equals(current.suspects())
                || !next.serviceVersions().equals(current.serviceVersions())
                || !next.evacuatedDataCentres().equals(current.evacuatedDataCentres())
                || !next.endedEvacuations().equals(current.endedEvacuations())
                || !next.sessions().equals(current.sessions());
        if (changed) {
            published = new Published(next, rules.text());
        }
    }

    private ControlView view(long index) {
        return new ControlView(
                index,
                rules.rules(),
                buckets.owners(),
                suspects.blockedFingerprints(),
                sessions.open(),
                suspects.view(),
                streamVersions.view(),
                evacuations.evacuated(),
                evacuations.ended());
    }

    /** A view with the text of its rules. */
    private record Published(ControlView view, String rulesText) {}
}
