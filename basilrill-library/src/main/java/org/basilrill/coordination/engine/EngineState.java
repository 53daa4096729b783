package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * What one incarnation of an engine holds, as far as its reports and the orders of this holder tell. Memory of a load
 * counts from the order on, memory of an unload until the engine reports that it is done, so the sum is never too low.
 * Not thread safe; guarded by the controller.
 */
final class EngineState {
    /** Waiting requests are sent at once; those of the next moments profit as well. */
    private static final long ADAPTER_SETTLES_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** A model that was moved stays for a while, so that a passing change of the demand moves nothing twice. */
    private static final long MODEL_SETTLES_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final Set<ModelId> models = new HashSet<>();
    private final Set<ModelId> adapters = new HashSet<>();
    private final Set<ModelId> loading = new HashSet<>();
    private final Set<ModelId> unloading = new HashSet<>();
    private final Set<ModelId> atHand = new HashSet<>();
    private final Map<ModelId, Long> sinceNanos = new HashMap<>();
    /** Models that are here or on their way, and those that serve; derived from the sets above. */
    private Set<ModelId> held = Set.of();

    private Set<ModelId> ready = Set.of();
    private Optional<ModelId> reservedFor = Optional.empty();
    private TargetAnnouncement announcement;
    private Optional<Long> acceptedOrders = Optional.empty();
    private boolean awaitsAnswer;
    private boolean fenced;
    private long notBeforeNanos;

    EngineState(TargetAnnouncement announcement, long nowNanos) {
        this.announcement = announcement;
        notBeforeNanos = nowNanos;
        derive();
    }

    TargetAnnouncement announcement() {
        return announcement;
    }

    /** Takes a newer announcement of the same incarnation. */
    void announced(TargetAnnouncement newer) {
        if (newer != announcement) {
            announcement = newer;
            derive();
        }
    }

    /** Returns whether the state must be asked for before the next order. */
    boolean needsReport(long nowNanos) {
        return !awaitsAnswer && !fenced && nowNanos - notBeforeNanos >= 0 && (acceptedOrders.isEmpty() || isBusy());
    }

    /** Returns whether an order may be sent now. */
    boolean isFree(long nowNanos) {
        return !awaitsAnswer
                && !fenced
                && acceptedOrders.isPresent()
                && !announcement.leaving()
                && nowNanos - notBeforeNanos >= 0;
    }

    /** Returns whether a model is being loaded or unloaded. */
    boolean isBusy() {
        return !loading.isEmpty() || !unloading.isEmpty();
    }

    boolean holdsModel(ModelId model) {
        return held.contains(model);
    }

    boolean isLoading(ModelId model) {
        return loading.contains(model);
    }

    boolean holdsAdapter(ModelId adapter) {
        return adapters.contains(adapter);
    }

    Set<ModelId> adapters() {
        return Collections.unmodifiableSet(adapters);
    }

    /** Returns the models that are here or on their way, without those on their way out. */
    Set<ModelId> heldModels() {
        return held;
    }

    /** What the engine announces stands for a report that has not come yet. */
    private Set<ModelId> announcedModels() {
        Set<ModelId> announced = new HashSet<>();
        announcement.contents().keySet().stream()
                .filter(model -> model.adapter().isEmpty())
                .forEach(announced::add);
        return announced;
    }

    /** Returns the models that serve requests here. */
    Set<ModelId> readyModels() {
        return ready;
    }

    /** Called after each change: a decision asks for these sets thousands of times. */
    private void derive() {
        if (acceptedOrders.isEmpty() && models.isEmpty()) {
            held = announcedModels();
        } else {
            held = new HashSet<>(models);
            held.removeAll(unloading);
        }
        ready = new HashSet<>(models);
        ready.removeAll(loading);
        ready.removeAll(unloading);
    }

    /** Returns whether the model loads here without the weight store. */
    boolean hasAtHand(ModelId model) {
        return atHand.contains(model);
    }

    /** Returns whether a model or adapter was loaded or unloaded here so long ago that it has had its use. */
    boolean isSettled(ModelId model, long nowNanos) {
        Long since = sinceNanos.get(model);
        long settles = model.adapter().isPresent() ? ADAPTER_SETTLES_NANOS : MODEL_SETTLES_NANOS;
        return since == null || nowNanos - since >= settles;
    }

    /** Returns how long ago the last order for a model was accepted; zero if there was none. */
    Duration sinceChange(ModelId model, long nowNanos) {
        return Duration.ofNanos(nowNanos - sinceNanos.getOrDefault(model, nowNanos));
    }

    /** Keeps the memory that an unload frees for the model it makes way for. */
    void reserveFor(ModelId model) {
        reservedFor = Optional.of(model);
    }

    /** Returns the model that memory is being freed for. */
    Optional<ModelId> reserved() {
        return reservedFor;
    }

    /** Returns the model that memory was freed for, once. */
    Optional<ModelId> takeReserved() {
        Optional<ModelId> model = reservedFor;
        reservedFor = Optional.empty();
        return model;
    }

    /** Returns the memory in use, with what is on its way. */
    long usedBytes(Rules rules) {
        long used = 0;
        for (ModelId model : models) {
            used += Optional.ofNullable(rules.models().get(model))
                    .map(Rules.Model::memoryBytes)
                    .orElse(0L);
        }
        for (ModelId adapter : adapters) {
            used += Optional.ofNullable(rules.adapters().get(adapter))
                    .map(Rules.Adapter::memoryBytes)
                    .orElse(0L);
        }
        return used;
    }

    /** Notes that a report or an order is on its way. */
    void asked() {
        awaitsAnswer = true;
    }

    /** Takes a report; an engine that does not answer is asked again after the pause. */
    void reported(Optional<EngineReport> answer, long nowNanos, long pauseNanos) {
        awaitsAnswer = false;
        if (answer.isEmpty()) {
            notBeforeNanos = nowNanos + pauseNanos;
            return;
        }
        EngineReport report = answer.get();
        boolean outdated =
                acceptedOrders.filter(known -> report.acceptedOrders() < known).isPresent();
        if (outdated || report.busy()) {
            notBeforeNanos = nowNanos + pauseNanos;
            return;
        }
        acceptedOrders = Optional.of(report.acceptedOrders());
        loading.clear();
        unloading.clear();
        models.clear();
        adapters.clear();
        report.contents().forEach(held -> (held.adapter().isPresent() ? adapters : models).add(held));
        adapters.addAll(report.pending());
        atHand.clear();
        atHand.addAll(report.atHand());
        derive();
    }

    /** Returns the precondition of the next order. */
    long expectedOrders() {
        return acceptedOrders.orElseThrow();
    }

    /**
     * Takes the answer to an order.
     *
     * @return whether the engine now holds, or is about to hold, what the order asks for
     */
    boolean answered(EngineOrder order, EngineOrder.Answer answer, long nowNanos, long pauseNanos) {
        awaitsAnswer = false;
        boolean holds = taken(order, answer, nowNanos, pauseNanos);
        derive();
        return holds;
    }

    private boolean taken(EngineOrder order, EngineOrder.Answer answer, long nowNanos, long pauseNanos) {
        switch (answer) {
            case ACCEPTED:
                acceptedOrders = acceptedOrders.map(known -> known + 1);
                accepted(order, nowNanos, pauseNanos);
                return true;
            case HOLDS_ALREADY:
                // The engine may have counted the order, so the count is asked for before the next one.
                acceptedOrders = order.model().adapter().isPresent() && order.action() == Action.UNLOAD
                        ? acceptedOrders.map(known -> known + 1)
                        : Optional.empty();
                accepted(order, nowNanos, 0);
                return true;
            case FENCED:
                fenced = true;
                return false;
            default:
                acceptedOrders = Optional.empty();
                notBeforeNanos = nowNanos + pauseNanos;
                return false;
        }
    }

    private void accepted(EngineOrder order, long nowNanos, long pauseNanos) {
        ModelId model = order.model();
        boolean load = order.action() == Action.LOAD;
        if (model.adapter().isPresent()) {
            if (load) {
                adapters.add(model);
                sinceNanos.put(model, nowNanos);
            } else {
                sinceNanos.remove(model);
                adapters.remove(model);
            }
            return;
        }
        sinceNanos.put(model, nowNanos);
        if (load) {
            models.add(model);
            loading.add(model);
        } else {
            unloading.add(model);
            adapters.removeIf(adapter -> adapter.base().equals(model));
        }
        notBeforeNanos = nowNanos + pauseNanos;
    }
}
