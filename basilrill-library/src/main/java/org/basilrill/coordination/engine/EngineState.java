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
 * Content of one incarnation of an engine, as known from its reports and from the orders of this leader. The memory of
 * a load counts from the order on; the memory of an unload counts until the engine reports its end. The sum is
 * therefore never too low. Not thread safe; guarded by the lock of the controller.
 */
final class EngineState {
    /**
     * Minimum residence of a loaded adapter. Its queued requests are sent at once, and requests of the following
     * seconds can use it as well.
     */
    private static final long ADAPTER_COOLDOWN_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Minimum time between two changes of a model on an engine, so that a short change of the demand does not move a
     * model twice.
     */
    private static final long MODEL_COOLDOWN_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final Set<ModelId> models = new HashSet<>();
    private final Set<ModelId> adapters = new HashSet<>();
    private final Set<ModelId> loading = new HashSet<>();
    private final Set<ModelId> unloading = new HashSet<>();
    private final Set<ModelId> localWeights = new HashSet<>();
    private final Map<ModelId, Long> lastChangeNanos = new HashMap<>();
    /** Models that are resident or loading, and models that can serve; derived from the sets above. */
    private Set<ModelId> residentOrLoading = Set.of();

    private Set<ModelId> ready = Set.of();
    private Optional<ModelId> reservation = Optional.empty();
    private TargetAnnouncement announcement;
    private Optional<Long> acceptedOrders = Optional.empty();
    private boolean awaitsResponse;
    private boolean fenced;
    private boolean overLimit;
    private long notBeforeNanos;

    EngineState(TargetAnnouncement announcement, long nowNanos) {
        this.announcement = announcement;
        notBeforeNanos = nowNanos;
        updateDerivedSets();
    }

    TargetAnnouncement announcement() {
        return announcement;
    }

    /** Applies a newer announcement of the same incarnation. */
    void updateAnnouncement(TargetAnnouncement newer) {
        if (newer != announcement) {
            announcement = newer;
            updateDerivedSets();
        }
    }

    /** Returns whether more requests are queued for the engine than its request rate serves soon. */
    boolean isOverLimit() {
        return overLimit;
    }

    void setOverLimit(boolean newValue) {
        overLimit = newValue;
    }

    /**
     * Returns whether the engine refused a connection since it was last heard of. It has probably crashed: it is back
     * within seconds without the models in its memory, and is announced until then.
     */
    boolean refusesConnections() {
        return announcement.hasUnconfirmedVersion();
    }

    /** Returns whether a report must be requested before the next order. */
    boolean needsReport(long nowNanos) {
        return !awaitsResponse && !fenced && nowNanos - notBeforeNanos >= 0 && (acceptedOrders.isEmpty() || isBusy());
    }

    /** Returns whether an order may be sent now. */
    boolean isFree(long nowNanos) {
        return !awaitsResponse
                && !fenced
                && acceptedOrders.isPresent()
                && !announcement.leaving()
                && nowNanos - notBeforeNanos >= 0;
    }

    /** Returns whether a model is being loaded or unloaded. */
    boolean isBusy() {
        return !loading.isEmpty() || !unloading.isEmpty();
    }

    /** Returns whether memory is reserved for a model that must be loaded from the weight store. */
    boolean awaitsStoreLoad() {
        return reservation.filter(model -> !hasLocalWeights(model)).isPresent();
    }

    boolean isResidentOrLoading(ModelId model) {
        return residentOrLoading.contains(model);
    }

    boolean isLoading(ModelId model) {
        return loading.contains(model);
    }

    boolean hasAdapter(ModelId adapter) {
        return adapters.contains(adapter);
    }

    Set<ModelId> adapters() {
        return Collections.unmodifiableSet(adapters);
    }

    /** Returns the models that are resident or loading, without those being unloaded. */
    Set<ModelId> residentOrLoadingModels() {
        return residentOrLoading;
    }

    /** Returns the announced models, which are used until the first report is received. */
    private Set<ModelId> announcedModels() {
        Set<ModelId> announced = new HashSet<>();
        announcement.contents().keySet().stream()
                .filter(model -> model.adapter().isEmpty())
                .forEach(announced::add);
        return announced;
    }

    /** Returns the models that can serve requests here. */
    Set<ModelId> readyModels() {
        return ready;
    }

    /**
     * Recomputes the derived sets. Called after each change instead of on each read, because a decision reads the sets
     * thousands of times.
     */
    private void updateDerivedSets() {
        if (acceptedOrders.isEmpty() && models.isEmpty()) {
            residentOrLoading = announcedModels();
        } else {
            residentOrLoading = new HashSet<>(models);
            residentOrLoading.removeAll(unloading);
        }
        ready = new HashSet<>(models);
        ready.removeAll(loading);
        ready.removeAll(unloading);
    }

    /** Returns whether the model can be loaded here without the weight store. */
    boolean hasLocalWeights(ModelId model) {
        return localWeights.contains(model);
    }

    /** Returns whether the last load or unload of a model or adapter here is long enough ago for another change. */
    boolean isPastCooldown(ModelId model, long nowNanos) {
        Long changedNanos = lastChangeNanos.get(model);
        long cooldownNanos = model.adapter().isPresent() ? ADAPTER_COOLDOWN_NANOS : MODEL_COOLDOWN_NANOS;
        return changedNanos == null || nowNanos - changedNanos >= cooldownNanos;
    }

    /** Returns the time since the last accepted order for a model; zero if there was none. */
    Duration timeSinceChange(ModelId model, long nowNanos) {
        return Duration.ofNanos(nowNanos - lastChangeNanos.getOrDefault(model, nowNanos));
    }

    /** Reserves the memory that an unload frees for another model. */
    void reserveFor(ModelId model) {
        reservation = Optional.of(model);
    }

    /** Returns the model that memory is reserved for. */
    Optional<ModelId> reservedModel() {
        return reservation;
    }

    /** Returns the model that memory is reserved for, and removes the reservation. */
    Optional<ModelId> removeReservation() {
        Optional<ModelId> model = reservation;
        reservation = Optional.empty();
        return model;
    }

    /** Returns the memory in use, including that of loads in progress. */
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

    /** Records that a report request or an order was sent. */
    void requestSent() {
        awaitsResponse = true;
    }

    /** Applies a report. If the engine did not respond, the next request is sent after the pause. */
    void reportReceived(Optional<EngineReport> response, long nowNanos, long delayNanos) {
        awaitsResponse = false;
        if (response.isEmpty()) {
            notBeforeNanos = nowNanos + delayNanos;
            return;
        }
        EngineReport report = response.get();
        boolean outdated = acceptedOrders
                .filter(acceptedCount -> report.acceptedOrders() < acceptedCount)
                .isPresent();
        if (outdated || report.busy()) {
            notBeforeNanos = nowNanos + delayNanos;
            return;
        }
        acceptedOrders = Optional.of(report.acceptedOrders());
        loading.clear();
        unloading.clear();
        models.clear();
        adapters.clear();
        report.contents()
                .forEach(modelOrAdapter ->
                        (modelOrAdapter.adapter().isPresent() ? adapters : models).add(modelOrAdapter));
        adapters.addAll(report.loadingAdapters());
        localWeights.clear();
        localWeights.addAll(report.localWeights());
        updateDerivedSets();
    }

    /** Returns the number of accepted orders that the next order expects. */
    long expectedOrders() {
        return acceptedOrders.orElseThrow();
    }

    /**
     * Applies the response to an order.
     *
     * @return whether the engine has, or is changing to, the state that the order requests
     */
    boolean orderResponseReceived(EngineOrder order, EngineOrder.Response response, long nowNanos, long delayNanos) {
        awaitsResponse = false;
        boolean successful = applyResponse(order, response, nowNanos, delayNanos);
        updateDerivedSets();
        return successful;
    }

    private boolean applyResponse(EngineOrder order, EngineOrder.Response response, long nowNanos, long delayNanos) {
        switch (response) {
            case ACCEPTED:
                acceptedOrders = acceptedOrders.map(acceptedCount -> acceptedCount + 1);
                applyAcceptedOrder(order, nowNanos, delayNanos);
                return true;
            case HOLDS_ALREADY:
                // The engine may have counted the order, so the count is requested before the next order.
                acceptedOrders = order.model().adapter().isPresent() && order.action() == Action.UNLOAD
                        ? acceptedOrders.map(acceptedCount -> acceptedCount + 1)
                        : Optional.empty();
                applyAcceptedOrder(order, nowNanos, 0);
                return true;
            case FENCED:
                fenced = true;
                return false;
            default:
                acceptedOrders = Optional.empty();
                notBeforeNanos = nowNanos + delayNanos;
                return false;
        }
    }

    private void applyAcceptedOrder(EngineOrder order, long nowNanos, long delayNanos) {
        ModelId model = order.model();
        boolean load = order.action() == Action.LOAD;
        if (model.adapter().isPresent()) {
            if (load) {
                adapters.add(model);
                lastChangeNanos.put(model, nowNanos);
            } else {
                lastChangeNanos.remove(model);
                adapters.remove(model);
            }
            return;
        }
        lastChangeNanos.put(model, nowNanos);
        if (load) {
            models.add(model);
            loading.add(model);
        } else {
            unloading.add(model);
            adapters.removeIf(adapter -> adapter.base().equals(model));
        }
        notBeforeNanos = nowNanos + delayNanos;
    }
}
