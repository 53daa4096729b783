package org.basilrill.scaffold.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.budget.ClientBudgets;
import org.basilrill.protocol.peer.ThriftBudgetCodec;

/**
 * Simulates the token budgets of several instances, with a network and a control log, on one virtual clock. Not thread
 * safe.
 */
public final class VirtualDeployment {
    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final VirtualNetwork network;
    private final VirtualControlLog log = new VirtualControlLog(time);
    private final Map<InstanceId, Process> processes = new TreeMap<>();
    private final List<InstanceId> instances = new ArrayList<>();

    public VirtualDeployment(int count, long seed) {
        this.random = new Random(seed);
        this.network = new VirtualNetwork(time, random);
        for (int number = 1; number <= count; number++) {
            instances.add(new InstanceId("instance-" + number));
        }
    }

    /** Starts all instances. */
    public void start() {
        instances.forEach(this::restart);
    }

    public VirtualTime time() {
        return time;
    }

    public VirtualNetwork network() {
        return network;
    }

    public VirtualControlLog log() {
        return log;
    }

    public List<InstanceId> instances() {
        return List.copyOf(instances);
    }

    /** Returns the token budgets of a running instance. */
    public ClientBudgets budgets(InstanceId instance) {
        return processes.get(instance).budgets;
    }

    public boolean isRunning(InstanceId instance) {
        return processes.containsKey(instance);
    }

    /** Ends the process of an instance; its state and its scheduled actions are lost. */
    public void crash(InstanceId instance) {
        Process process = processes.remove(instance);
        if (process != null) {
            process.alive = false;
        }
    }

    /** Starts a process of an instance, unless one is running. */
    public void restart(InstanceId instance) {
        if (isRunning(instance)) {
            return;
        }
        Process process = new Process();
        Scheduler scheduler = time.schedulerOf(() -> process.alive);
        long session = 1 + random.nextLong(1_000_000_000_000L);
        VirtualControlClient client = new VirtualControlClient(instance, time, scheduler, log, network, session);
        PeerChannel channel = (recipient, subject, payload) -> network.send(instance, recipient, payload.length, () -> {
            Process receiver = processes.get(recipient);
            if (receiver != null) {
                receiver.budgets.received(instance, payload);
            }
        });
        process.origin = random.nextLong();
        // Each process has its own clock origin, so that a comparison of times of two processes causes a visible fault.
        process.budgets = new ClientBudgets(
                instance,
                time.clockWithOrigin(process.origin),
                scheduler,
                new Random(random.nextLong()),
                channel,
                client,
                new ThriftBudgetCodec());
        processes.put(instance, process);
        process.budgets.start();
        client.start();
    }

    /** Returns the current time on the clock of a running instance. */
    public long nanos(InstanceId instance) {
        return time.nanos() + processes.get(instance).origin;
    }

    /** The running process of an instance. */
    private static final class Process {
        private boolean alive = true;
        private long origin;
        private ClientBudgets budgets;
    }
}
