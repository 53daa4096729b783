package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;

/** The paths between instances and targets, which can be cut while both keep running. Not thread safe. */
public final class VirtualPaths {
    /** Time after which a connection that hangs is given up by the connector. */
    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final Map<InstanceId, Cut> cuts = new HashMap<>();

    /** What happens to connections over a cut path. */
    public enum Mode {
        /** Open and new connections hang. */
        HANG,
        /** Open connections are reset and new ones hang. */
        RESET,
        /** Open connections live on and new ones are refused. */
        REFUSE
    }

    /** Cuts the paths of an instance to the targets that match. */
    public void cut(InstanceId instance, Mode mode, Predicate<TargetId> targets) {
        cuts.put(instance, new Cut(mode, targets));
    }

    /** Joins the paths of an instance again. */
    public void join(InstanceId instance) {
        cuts.remove(instance);
    }

    /** Returns how the path is cut; empty if it is not. */
    Optional<Mode> cutOf(InstanceId instance, TargetId target) {
        return Optional.ofNullable(cuts.get(instance))
                .filter(cut -> cut.targets().test(target))
                .map(Cut::mode);
    }

    /** Returns whether bytes pass on an open connection. */
    boolean passes(InstanceId instance, TargetId target) {
        return cutOf(instance, target).filter(mode -> mode != Mode.REFUSE).isEmpty();
    }

    /** How the paths of one instance to some targets are cut. */
    private record Cut(Mode mode, Predicate<TargetId> targets) {}
}
