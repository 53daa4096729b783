package org.basilrill.scaffold.virtual;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;

/**
 * Simulates the control log as a single object with sessions and bucket owners. It does not check that the waiting time
 * has passed before a bucket is reassigned; the instances must keep it. Not thread safe.
 */
public final class VirtualControlLog {
    private static final long SESSION_TIMEOUT_NANOS = 5_000_000_000L;

    private final VirtualTime time;
    private final Map<AccountId, ControlView.BucketOwner> owners = new HashMap<>();
    private final Map<InstanceId, Long> sessions = new TreeMap<>();
    private final Map<InstanceId, Long> renewedAt = new HashMap<>();
    private Rules rules = Rules.empty();
    private long index;

    public VirtualControlLog(VirtualTime time) {
        this.time = time;
    }

    /** Replaces the accounts of the rules. */
    public void replaceAccounts(List<Rules.Account> accounts) {
        Map<AccountId, Rules.Account> accountsById =
                accounts.stream().collect(Collectors.toMap(Rules.Account::id, account -> account));
        rules = new Rules(
                rules.revision() + 1,
                accountsById,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                Rules.StoreLimits.defaults());
        index++;
    }

    /** Expires overdue sessions and returns the current state. */
    public ControlView view() {
        expireSessions();
        return new ControlView(index, rules, owners, Set.of(), sessions);
    }

    /** Renews a session. Returns false if it is not open. */
    public boolean renew(InstanceId instance, long sessionId) {
        expireSessions();
        Long open = sessions.get(instance);
        if (open == null || open != sessionId) {
            return false;
        }
        renewedAt.put(instance, time.nanos());
        return true;
    }

    /** Applies a command and returns its result; only session registration and bucket assignment are supported. */
    public ControlResult apply(ControlCommand command) {
        expireSessions();
        if (command instanceof ControlCommand.RegisterSession register) {
            sessions.put(register.instance(), register.sessionId());
            renewedAt.put(register.instance(), time.nanos());
            index++;
            return new ControlResult.Done();
        }
        if (command instanceof ControlCommand.AssignBucket assign) {
            return assign(assign);
        }
        return new ControlResult.Refused(ErrorCode.INTERNAL, "not supported by the simulated control log");
    }

    private ControlResult assign(ControlCommand.AssignBucket command) {
        ControlView.BucketOwner currentOwner = owners.get(command.account());
        long epoch = currentOwner == null ? 0 : currentOwner.epoch();
        Long session = sessions.get(command.owner());
        boolean open = session != null && session == command.sessionId();
        if (epoch != command.expectedEpoch()) {
            return new ControlResult.BucketHeld(currentOwner.owner(), epoch);
        }
        if (!open) {
            return new ControlResult.Refused(ErrorCode.CONTROL_UNAVAILABLE, "session of the new owner is not open");
        }
        owners.put(
                command.account(),
                new ControlView.BucketOwner(
                        command.owner(), command.sessionId(), epoch + 1, command.handedOverTokens()));
        index++;
        return new ControlResult.BucketHeld(command.owner(), epoch + 1);
    }

    private void expireSessions() {
        boolean expired =
                sessions.keySet().removeIf(instance -> time.nanos() - renewedAt.get(instance) >= SESSION_TIMEOUT_NANOS);
        if (expired) {
            index++;
        }
    }
}
