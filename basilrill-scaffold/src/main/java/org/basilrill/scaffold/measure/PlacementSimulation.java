package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.configuration.Rules.StoreLimits;

/**
 * Fluid simulation of workers, models and their demand in steps of one second. A worker is a target with four
 * accelerators; each copy serves at most the rate of one accelerator, each worker at most that of four. Demand that no
 * copy can serve is queued for 5 s and then counts as missed. Not thread safe.
 */
final class PlacementSimulation {
    static final long GIBIBYTE = 1L << 30;
    static final int ACCELERATORS = 4;
    static final long WORKER_BYTES = 4 * 24 * GIBIBYTE;

    /**
     * Tokens per second of one accelerator: the peak load at the design scale, 830,000 tokens/s, over 2,400
     * accelerators.
     */
    static final double ACCELERATOR_RATE = 346;

    private static final double MAXIMUM_WAIT_SECONDS = 5;
    private static final int[] MODEL_GIBIBYTES = {16, 20, 24, 32};

    /** Mean demand as a share of the capacity of all accelerators. */
    private static final double MEAN_LOAD_SHARE = 0.45;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final List<Worker> workers = new ArrayList<>();
    private final List<SimulatedModel> models = new ArrayList<>();
    private final StoreLimits limits;
    private double storeTokens;
    private int loadsInFlight;
    private long loadCount;
    private long unloadCount;
    private double offeredTokens;
    private double servedTokens;

    PlacementSimulation(int workerCount, int modelCount, StoreLimits limits, long seed) {
        random = new Random(seed);
        this.limits = limits;
        for (int number = 0; number < workerCount; number++) {
            workers.add(new Worker(new TargetId(String.format("worker-%04d", number)), "dc-" + number % 4));
        }
        double weights = 0;
        for (int rank = 1; rank <= modelCount; rank++) {
            weights += 1.0 / rank;
        }
        double total = MEAN_LOAD_SHARE * workerCount * ACCELERATORS * ACCELERATOR_RATE;
        for (int rank = 1; rank <= modelCount; rank++) {
            long bytes = MODEL_GIBIBYTES[random.nextInt(MODEL_GIBIBYTES.length)] * GIBIBYTE;
            models.add(
                    new SimulatedModel(new ModelId(String.format("model-%04d", rank)), bytes, total / rank / weights));
        }
        placeStatically();
        models.forEach(this::changeRate);
    }

    VirtualTime time() {
        return time;
    }

    List<Worker> workers() {
        return workers;
    }

    List<SimulatedModel> models() {
        return models;
    }

    StoreLimits limits() {
        return limits;
    }

    int storeTokens() {
        return (int) storeTokens;
    }

    long moves() {
        return loadCount + unloadCount;
    }

    double attainment() {
        return servedTokens / offeredTokens;
    }

    double servedTokens() {
        return servedTokens;
    }

    void resetCounters() {
        loadCount = 0;
        unloadCount = 0;
        offeredTokens = 0;
        servedTokens = 0;
    }

    /** Returns rules for these models that allow one copy of each on every worker. */
    Rules rules() {
        Map<ModelId, Rules.Model> rules = new HashMap<>();
        models.forEach(model -> rules.put(
                model.id, new Rules.Model(model.id, model.bytes, 1, workers.size(), 1, Rules.DEFAULT_PRIORITY)));
        return new Rules(1, Map.of(), Map.of(), Map.of(), rules, Map.of(), Map.of(), List.of(), limits);
    }

    /** Starts loading a copy if the worker has memory and the store limits allow it; returns whether it started. */
    boolean load(Worker worker, SimulatedModel model) {
        if (storeTokens < 1
                || loadsInFlight >= limits.loadsInFlight()
                || worker.copies.containsKey(model.id)
                || worker.freeBytes() < model.bytes) {
            return false;
        }
        storeTokens--;
        loadsInFlight++;
        loadCount++;
        Copy copy = new Copy(model);
        worker.copies.put(model.id, copy);
        Duration duration = Duration.ofMillis((long) (1000 * limits.loadsInFlight() / limits.loadsPerSecond()));
        time.schedule(duration, () -> {
            copy.ready = true;
            loadsInFlight--;
        });
        return true;
    }

    void unload(Worker worker, ModelId model) {
        unloadCount++;
        worker.copies.remove(model);
    }

    /** Advances the time by one second and serves the demand of that second. */
    void step() {
        time.advance(Duration.ofSeconds(1));
        storeTokens = Math.min(Math.max(1, limits.loadsPerSecond()), storeTokens + limits.loadsPerSecond());
        workers.forEach(worker -> {
            worker.remainingRate = ACCELERATORS * ACCELERATOR_RATE;
            worker.copies.values().forEach(copy -> copy.remainingRate = ACCELERATOR_RATE);
        });
        Map<ModelId, List<Worker>> readyWorkers = new HashMap<>();
        workers.forEach(worker -> worker.copies.values().stream()
                .filter(copy -> copy.ready)
                .forEach(copy -> readyWorkers
                        .computeIfAbsent(copy.model.id, absent -> new ArrayList<>())
                        .add(worker)));
        for (SimulatedModel model : models) {
            offeredTokens += model.rate;
            model.backlog += model.rate;
            List<Worker> ready = readyWorkers.getOrDefault(model.id, List.of());
            for (Worker worker : ready) {
                Copy copy = worker.copies.get(model.id);
                double servedNow = Math.min(model.backlog, Math.min(copy.remainingRate, worker.remainingRate));
                copy.lastUsedNanos = servedNow > 0 ? time.nanos() : copy.lastUsedNanos;
                copy.remainingRate -= servedNow;
                worker.remainingRate -= servedNow;
                model.backlog -= servedNow;
                servedTokens += servedNow;
            }
            model.backlog = Math.min(model.backlog, model.rate * MAXIMUM_WAIT_SECONDS);
        }
    }

    /** Changes the rate of a model every 10 to 60 minutes to a random value within a range of a factor of ten. */
    private void changeRate(SimulatedModel model) {
        model.rate = model.meanRate * Math.pow(10, random.nextDouble() - 0.5);
        time.schedule(Duration.ofSeconds(600 + random.nextInt(3000)), () -> changeRate(model));
    }

    /**
     * Places one copy of each model, largest first. Then adds copies of the models with the highest mean demand per
     * copy, until memory is full or no copy exceeds half the rate of an accelerator.
     */
    private void placeStatically() {
        Map<ModelId, Integer> copies = new TreeMap<>();
        models.stream()
                .sorted(Comparator.comparingLong((SimulatedModel model) -> -model.bytes))
                .forEach(model -> placeCopy(model, copies));
        boolean placed = true;
        while (placed) {
            placed = models.stream()
                    .sorted(Comparator.comparingDouble(model -> -model.meanRate / copies.getOrDefault(model.id, 1)))
                    .anyMatch(model -> model.meanRate / copies.getOrDefault(model.id, 1) > ACCELERATOR_RATE / 2
                            && placeCopy(model, copies));
        }
    }

    private boolean placeCopy(SimulatedModel model, Map<ModelId, Integer> copies) {
        Optional<Worker> worker = workers.stream()
                .filter(candidate -> candidate.freeBytes() >= model.bytes && !candidate.copies.containsKey(model.id))
                .max(Comparator.comparingLong(Worker::freeBytes).thenComparing(Worker::id));
        worker.ifPresent(found -> {
            Copy copy = new Copy(model);
            copy.ready = true;
            found.copies.put(model.id, copy);
            copies.merge(model.id, 1, Integer::sum);
        });
        return worker.isPresent();
    }

    /** A model with its demand in tokens per second and its queued tokens. */
    static final class SimulatedModel {
        private final ModelId id;
        private final long bytes;
        private final double meanRate;
        private double rate;
        private double backlog;

        private SimulatedModel(ModelId id, long bytes, double meanRate) {
            this.id = id;
            this.bytes = bytes;
            this.meanRate = meanRate;
        }

        ModelId id() {
            return id;
        }

        double rate() {
            return rate;
        }

        double backlog() {
            return backlog;
        }

        long bytes() {
            return bytes;
        }
    }

    /** A copy of a model on a worker: loading or ready. */
    static final class Copy {
        private final SimulatedModel model;
        private boolean ready;
        private double remainingRate;
        private long lastUsedNanos;

        private Copy(SimulatedModel model) {
            this.model = model;
        }

        SimulatedModel model() {
            return model;
        }

        boolean ready() {
            return ready;
        }

        long lastUsedNanos() {
            return lastUsedNanos;
        }
    }

    /** A worker with its copies. */
    static final class Worker {
        private final TargetId id;
        private final String dataCentre;
        private final TreeMap<ModelId, Copy> copies = new TreeMap<>();
        private double remainingRate;

        private Worker(TargetId id, String dataCentre) {
            this.id = id;
            this.dataCentre = dataCentre;
        }

        TargetId id() {
            return id;
        }

        String dataCentre() {
            return dataCentre;
        }

        TreeMap<ModelId, Copy> copies() {
            return copies;
        }

        long freeBytes() {
            return WORKER_BYTES
                    - copies.values().stream()
                            .mapToLong(copy -> copy.model.bytes)
                            .sum();
        }
    }
}
