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
 * Workers, models and their demand as a fluid model in steps of one second. Each copy serves as much as one accelerator
 * and each worker as much as its four. Requests that no copy can serve wait for 5 s and then count as missed. Not
 * thread safe.
 */
final class PlacementWorld {
    static final long GIBIBYTE = 1L << 30;
    static final int ACCELERATORS = 4;
    static final long WORKER_BYTES = 4 * 24 * GIBIBYTE;

    /** Peak load over accelerators at the design scale: 830,000 tokens/s over 2,400. */
    static final double ACCELERATOR_RATE = 346;

    private static final double DEADLINE_SECONDS = 5;
    private static final int[] MODEL_GIBIBYTES = {16, 20, 24, 32};

    /** Mean demand as a share of what all accelerators serve. */
    private static final double LOAD = 0.45;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final List<Worker> workers = new ArrayList<>();
    private final List<Demand> models = new ArrayList<>();
    private final StoreLimits limits;
    private double storeTokens;
    private int loading;
    private long loads;
    private long unloads;
    private double offered;
    private double served;

    PlacementWorld(int workerCount, int modelCount, StoreLimits limits, long seed) {
        random = new Random(seed);
        this.limits = limits;
        for (int number = 0; number < workerCount; number++) {
            workers.add(new Worker(new TargetId(String.format("worker-%04d", number)), "dc-" + number % 4));
        }
        double weights = 0;
        for (int rank = 1; rank <= modelCount; rank++) {
            weights += 1.0 / rank;
        }
        double total = LOAD * workerCount * ACCELERATORS * ACCELERATOR_RATE;
        for (int rank = 1; rank <= modelCount; rank++) {
            long bytes = MODEL_GIBIBYTES[random.nextInt(MODEL_GIBIBYTES.length)] * GIBIBYTE;
            models.add(new Demand(new ModelId(String.format("model-%04d", rank)), bytes, total / rank / weights));
        }
        placeStatically();
        models.forEach(this::shift);
    }

    VirtualTime time() {
        return time;
    }

    List<Worker> workers() {
        return workers;
    }

    List<Demand> models() {
        return models;
    }

    StoreLimits limits() {
        return limits;
    }

    int storeTokens() {
        return (int) storeTokens;
    }

    long moves() {
        return loads + unloads;
    }

    double attainment() {
        return served / offered;
    }

    double servedTokens() {
        return served;
    }

    void resetCounts() {
        loads = 0;
        unloads = 0;
        offered = 0;
        served = 0;
    }

    /** Returns the rules that describe these models, with as many copies allowed as there are workers. */
    Rules rules() {
        Map<ModelId, Rules.Model> rules = new HashMap<>();
        models.forEach(model -> rules.put(
                model.id, new Rules.Model(model.id, model.bytes, 1, workers.size(), 1, Rules.DEFAULT_PRIORITY)));
        return new Rules(1, Map.of(), Map.of(), Map.of(), rules, Map.of(), Map.of(), List.of(), limits);
    }

    /** Begins a load if memory and the store's limits allow it. */
    boolean load(Worker worker, Demand model) {
        if (storeTokens < 1
                || loading >= limits.loadsInFlight()
                || worker.copies.containsKey(model.id)
                || worker.freeBytes() < model.bytes) {
            return false;
        }
        storeTokens--;
        loading++;
        loads++;
        Copy copy = new Copy(model);
        worker.copies.put(model.id, copy);
        Duration duration = Duration.ofMillis((long) (1000 * limits.loadsInFlight() / limits.loadsPerSecond()));
        time.schedule(duration, () -> {
            copy.ready = true;
            loading--;
        });
        return true;
    }

    void unload(Worker worker, ModelId model) {
        unloads++;
        worker.copies.remove(model);
    }

    /** Serves one second of demand. */
    void step() {
        time.advance(Duration.ofSeconds(1));
        storeTokens = Math.min(Math.max(1, limits.loadsPerSecond()), storeTokens + limits.loadsPerSecond());
        workers.forEach(worker -> {
            worker.leftRate = ACCELERATORS * ACCELERATOR_RATE;
            worker.copies.values().forEach(copy -> copy.leftRate = ACCELERATOR_RATE);
        });
        Map<ModelId, List<Worker>> places = new HashMap<>();
        workers.forEach(worker -> worker.copies.values().stream()
                .filter(copy -> copy.ready)
                .forEach(copy -> places.computeIfAbsent(copy.model.id, absent -> new ArrayList<>())
                        .add(worker)));
        for (Demand model : models) {
            offered += model.rate;
            model.backlog += model.rate;
            List<Worker> ready = places.getOrDefault(model.id, List.of());
            for (Worker worker : ready) {
                Copy copy = worker.copies.get(model.id);
                double part = Math.min(model.backlog, Math.min(copy.leftRate, worker.leftRate));
                copy.usedSecond = part > 0 ? time.nanos() : copy.usedSecond;
                copy.leftRate -= part;
                worker.leftRate -= part;
                model.backlog -= part;
                served += part;
            }
            model.backlog = Math.min(model.backlog, model.rate * DEADLINE_SECONDS);
        }
    }

    /** Changes the rate of a model every 10 to 60 minutes, so that it spans a factor of ten within an hour. */
    private void shift(Demand model) {
        model.rate = model.meanRate * Math.pow(10, random.nextDouble() - 0.5);
        time.schedule(Duration.ofSeconds(600 + random.nextInt(3000)), () -> shift(model));
    }

    /** Gives each model one copy, and more to those with the highest mean demand per copy, until memory is full. */
    private void placeStatically() {
        Map<ModelId, Integer> copies = new TreeMap<>();
        models.stream()
                .sorted(Comparator.comparingLong((Demand model) -> -model.bytes))
                .forEach(model -> place(model, copies));
        boolean placed = true;
        while (placed) {
            placed = models.stream()
                    .sorted(Comparator.comparingDouble(model -> -model.meanRate / copies.getOrDefault(model.id, 1)))
                    .anyMatch(model -> model.meanRate / copies.getOrDefault(model.id, 1) > ACCELERATOR_RATE / 2
                            && place(model, copies));
        }
    }

    private boolean place(Demand model, Map<ModelId, Integer> copies) {
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

    /** One model with its demand in tokens per second. */
    static final class Demand {
        private final ModelId id;
        private final long bytes;
        private final double meanRate;
        private double rate;
        private double backlog;

        private Demand(ModelId id, long bytes, double meanRate) {
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

    /** One copy of a model. */
    static final class Copy {
        private final Demand model;
        private boolean ready;
        private double leftRate;
        private long usedSecond;

        private Copy(Demand model) {
            this.model = model;
        }

        Demand model() {
            return model;
        }

        boolean ready() {
            return ready;
        }

        long used() {
            return usedSecond;
        }
    }

    /** One worker with its copies. */
    static final class Worker {
        private final TargetId id;
        private final String dataCentre;
        private final TreeMap<ModelId, Copy> copies = new TreeMap<>();
        private double leftRate;

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
