package org.basilrill.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.InstanceId;

/**
 * The checked settings of one instance. Immutable and thread safe.
 *
 * @param callerAddress IP number and port for callers, targets and operators
 * @param peerAddress IP number and port that other instances connect to
 * @param peerListenAddress address to listen on for other instances; differs from the peer address only behind a relay
 * @param replicas founding replicas of the control log; also the first members contacted
 * @param dataFolder present exactly if the instance is a replica
 * @param operatorKeyHash SHA-256 of a first operator key, accepted until the rules name an operator
 * @param announcementKeyHash SHA-256 of the key that targets must send with their announcements; any may if absent
 * @param drainLimit longest time that a stop waits for running requests
 * @param progressTimeout longest time without a byte from a target
 * @param outside how the instance is found and spoken to
 */
public record Settings(
        InstanceId instance,
        String dataCentre,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress peerListenAddress,
        Set<Role> roles,
        Map<InstanceId, InetSocketAddress> replicas,
        Optional<Path> dataFolder,
        Optional<String> operatorKeyHash,
        Optional<String> announcementKeyHash,
        Duration drainLimit,
        Duration progressTimeout,
        OutsideSettings outside) {
    public static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofSeconds(60);
    public static final Duration DEFAULT_PROGRESS_TIMEOUT = Duration.ofSeconds(10);

    public Settings {
        roles = Set.copyOf(roles);
        replicas = Map.copyOf(replicas);
    }

    /** Returns whether the instance holds a replica of the control log. */
    public boolean isReplica() {
        return roles.contains(Role.REPLICA);
    }

    /** What an instance does. */
    public enum Role {
        ENTRY,
        REPLICA
    }
}
