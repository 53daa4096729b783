package org.basilrill.transport.http;

import org.apache.hc.core5.reactor.IOReactorConfig;

/**
 * Settings of TCP keep-alive probes. The probes detect connections that were lost without a reset, for example because
 * a network device between the two ends dropped their state. Stateless and thread safe.
 */
final class KeepAliveProbes {
    private static final int IDLE_SECONDS = 2;
    private static final int INTERVAL_SECONDS = 1;
    private static final int PROBES = 2;

    private KeepAliveProbes() {}

    /** Enables the probes. */
    static IOReactorConfig.Builder enable(IOReactorConfig.Builder reactor) {
        return reactor.setSoKeepAlive(true)
                .setTcpKeepIdle(IDLE_SECONDS)
                .setTcpKeepInterval(INTERVAL_SECONDS)
                .setTcpKeepCount(PROBES);
    }
}
