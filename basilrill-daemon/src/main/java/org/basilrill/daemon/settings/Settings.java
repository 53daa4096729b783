package org.basilrill.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.InstanceId;

/**
 * The validated settings of one instance. Immutable and thread safe.
 *
 * @param callerAddress IP address and port for callers, targets and operators
 * @param peerAddress IP address and port that other instances connect to
 * @param peerListenAddress address to listen on for other instances; differs from the peer address only
 *     if a relay forwards the connections
 * @param replicas founding replicas of the control log, or the seeds; also the first instances contacted at a start
 * @param dataFolder folder of the control log; present if and only if the instance is a replica
 * @param operatorKeyHash SHA-256 of the first operator's key, accepted until the rules define an operator
 * @param announcementKeyHash SHA-256 of the key that targets must send with their announcements; if absent,
 *     any target may announce itself
 * @param drainLimit maximum time that a graceful stop waits for running requests
 * @param progressTimeout maximum time without a byte from a target before a request to it fails
 * @param interfaces settings of the interfaces to callers, targets and operators
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
        InterfaceSettings interfaces) {
    public static final Duration DEFAULT_DRAIN_LIMIT = Duration.ofSeconds(60);
    public static final Duration DEFAULT_PROGRESS_TIMEOUT = Duration.ofSeconds(10);

    public Settings {
        roles = Set.copyOf(roles);
        replicas = Map.copyOf(replicas);
    }

    /** Returns whether the instance has a replica of the control log. */
    public boolean isReplica() {
        return roles.contains(Role.REPLICA);
    }

    /** A task of an instance: serving callers, or storing the control log. */
    public enum Role {
        ENTRY,
        REPLICA
    }
}
