package org.basilrill.transport.http;

import org.apache.hc.core5.reactor.IOReactorConfig;

/**
 * Probes by which the system finds connections that have gone silent without a reset, as when something between the two
 * ends has forgotten them. Stateless and thread safe.
 */
final class KeepAliveProbes {
    private static final int IDLE_SECONDS = 2;
    private static final int INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private KeepAliveProbes() {}

    /** Switches the probes on. */
    static IOReactorConfig.Builder on(IOReactorConfig.Builder reactor) {
        return reactor.setSoKeepAlive(true)
                .setTcpKeepIdle(IDLE_SECONDS)
                .setTcpKeepInterval(INTERVAL_SECONDS)
                .setTcpKeepCount(PROBES);
    }
}
