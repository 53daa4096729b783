package org.basilrill.protocol.instance;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;

/** Counts and times requests. Thread safe. */
final class RequestMetrics {
    private final MetricRegistry registry;
    private final Meter requests;
    private final Counter running;
    private final Timer firstByte;
    private final Meter retries;

    RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
        requests = registry.meter("requests.started");
        running = registry.counter("requests.running");
        firstByte = registry.timer("requests.first-byte");
        retries = registry.meter("requests.retries");
    }

    void started() {
        requests.mark();
        running.inc();
    }

    void finished() {
        running.dec();
    }

    void firstByte(long nanos) {
        firstByte.update(nanos, TimeUnit.NANOSECONDS);
    }

    void retried() {
        retries.mark();
    }

    void failed(ErrorCode code) {
        registry.meter("failures." + code.name()).mark();
    }

    void used(Optional<AccountId> account, long tokens) {
        account.ifPresent(id -> registry.meter("accounts." + id + ".tokens").mark(tokens));
    }
}
