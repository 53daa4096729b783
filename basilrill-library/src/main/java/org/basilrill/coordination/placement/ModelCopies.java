package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.PlannedTarget.Copy;
import org.basilrill.state.configuration.Rules;

/** Copies of one model or adapter during a planning run, with its rule and demand. Not thread safe. */
final class ModelCopies {
    private final ModelId model;
    private final List<Copy> copies = new ArrayList<>();
    private Optional<Rules.Model> rule = Optional.empty();
    private Optional<Rules.Adapter> adapterRule = Optional.empty();
    private ModelDemand demand = ModelDemand.NONE;

    ModelCopies(ModelId model) {
        this.model = model;
    }

    ModelId model() {
        return model;
    }

    List<Copy> copies() {
        return copies;
    }

    void rule(Rules.Model value) {
        rule = Optional.of(value);
    }

    void rule(Rules.Adapter value) {
        adapterRule = Optional.of(value);
    }

    Optional<Rules.Model> rule() {
        return rule;
    }

    Optional<Rules.Adapter> adapterRule() {
        return adapterRule;
    }

    void addDemand(ModelDemand added) {
        demand = demand.plus(added);
    }

    ModelDemand demand() {
        return demand;
    }

    boolean isInRules() {
        return rule.isPresent() || adapterRule.isPresent();
    }

    int readyCopies() {
        return (int) copies.stream().filter(Copy::isReady).count();
    }

    /** Returns the number of ready copies without an open load or unload. */
    int stableCopies() {
        return (int) copies.stream().filter(Copy::isStable).count();
    }

    /** Returns the number of copies in the version of the rule that are ready or expected to become ready. */
    int currentCopiesExpected() {
        return (int) copies.stream()
                .filter(copy -> copy.isReady() || copy.isBecomingReady())
                .filter(this::isCurrent)
                .count();
    }

    /** Returns the number of ready copies in the version of the rule without an open load or unload. */
    int stableCurrentCopies() {
        return (int)
                copies.stream().filter(Copy::isStable).filter(this::isCurrent).count();
    }

    boolean hasReadyOrExpectedCopy() {
        return copies.stream().anyMatch(copy -> copy.isReady() || copy.isBecomingReady());
    }

    boolean isCurrent(Copy copy) {
        return rule.map(modelRule -> modelRule.version() == copy.version()).orElse(true);
    }

    int copiesInDataCentre(String dataCentre) {
        return (int) copies.stream()
                .filter(copy -> !copy.isUnloading()
                        && copy.target().dataCentre().equals(dataCentre)
                        && !copy.isUnusedReservation())
                .count();
    }

    /** Returns the number of copies that the demand requires, within the bounds of the rule. */
    int desiredCopies(PlacementSettings settings) {
        int minimum = rule.map(Rules.Model::minimumCopies).orElse(0);
        int maximum = rule.map(Rules.Model::maximumCopies).orElse(Integer.MAX_VALUE);
        return Math.min(maximum, Math.max(minimum, settings.desiredCopies(demand.rate())));
    }

    /** Returns the number of copies that are not idle, within the bounds of the rule. */
    int retainedCopies(PlacementSettings settings) {
        int minimum = rule.map(Rules.Model::minimumCopies).orElse(0);
        int maximum = rule.map(Rules.Model::maximumCopies).orElse(Integer.MAX_VALUE);
        return Math.min(maximum, Math.max(minimum, settings.retainedCopies(demand.rate())));
    }

    int minimumCopies() {
        return rule.map(Rules.Model::minimumCopies).orElse(0);
    }

    double ratePerCopy() {
        return demand.rate() / Math.max(1, readyCopies());
    }
}
