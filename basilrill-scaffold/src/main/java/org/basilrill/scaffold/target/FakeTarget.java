package org.basilrill.scaffold.target;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.target.AnnouncementCodec;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Simulates a model engine or a plain service: announces itself, streams tokens, counts executions and executes target
 * orders. Thread safe.
 */
public final class FakeTarget {
    private static final long ANNOUNCE_PERIOD_MILLIS = 500;
    private static final long TIME_TO_LIVE_MILLIS = 2000;

    private final FakeTargetSettings settings;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private final FakeEngine engine;
    private final FakeMemory memory;
    private final Announcer announcer;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final long incarnation = System.currentTimeMillis();

    private FakeTarget(FakeTargetSettings settings) {
        this.settings = settings;
        this.engine = new FakeEngine(settings);
        this.memory = new FakeMemory(settings, timer);
        this.announcer = new Announcer(
                settings.instances(),
                () -> new String(AnnouncementCodec.write(announcement()), StandardCharsets.UTF_8));
    }

    /** Starts a fake target; it runs until the process ends. A normal shutdown announces first that it is leaving. */
    public static void start(FakeTargetSettings settings) throws IOException {
        FakeTarget target = new FakeTarget(settings);
        HttpServer server = HttpServer.create(new InetSocketAddress(settings.host(), settings.port()), 256);
        server.setExecutor(Executors.newCachedThreadPool());
        new FakeTargetApi(target.engine, target.memory, target.incarnation, target::leave)
                .register(server, settings.service().isPresent());
        server.start();
        target.timer.scheduleWithFixedDelay(
                target.announcer::announceOnce, 0, ANNOUNCE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(target::leave));
    }

    private void leave() {
        leaving.set(true);
        announcer.announceOnce();
    }

    private TargetAnnouncement announcement() {
        return new TargetAnnouncement(
                new TargetId(settings.name()),
                incarnation,
                sequence.incrementAndGet(),
                settings.host(),
                settings.announcedPort(),
                settings.dataCentre(),
                settings.service(),
                TIME_TO_LIVE_MILLIS,
                settings.memoryBytes(),
                memory.contents(),
                EnumSet.allOf(TargetAnnouncement.Role.class),
                settings.slots(),
                new TargetAnnouncement.Load(engine.running(), 0),
                settings.enforcesFencing(),
                leaving.get(),
                Optional.empty(),
                0);
    }
}
