package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.Site.Copy;
import org.basilrill.state.configuration.Rules;

/** The copies of one model or adapter as a decision sees them, with what is wanted. Not thread safe. */
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

    void add(ModelDemand more) {
        demand = demand.plus(more);
    }

    ModelDemand demand() {
        return demand;
    }

    boolean isInRules() {
        return rule.isPresent() || adapterRule.isPresent();
    }

    int ready() {
        return (int) copies.stream().filter(Copy::isReady).count();
    }

    /** Returns the ready copies that are not about to change. */
    int steady() {
        return (int) copies.stream().filter(Copy::isSteady).count();
    }

    /** Returns the copies that serve now or soon in the wanted version. */
    int currentOrComing() {
        return (int) copies.stream()
                .filter(copy -> copy.isReady() || copy.isComing())
                .filter(this::isCurrent)
                .count();
    }

    /** Returns the ready copies in the wanted version that are not about to change. */
    int steadyAndCurrent() {
        return (int)
                copies.stream().filter(Copy::isSteady).filter(this::isCurrent).count();
    }

    boolean hasCopyOrIsComing() {
        return copies.stream().anyMatch(copy -> copy.isReady() || copy.isComing());
    }

    boolean isCurrent(Copy copy) {
        return rule.map(wanted -> wanted.version() == copy.version()).orElse(true);
    }

    int inDataCentre(String dataCentre) {
        return (int) copies.stream()
                .filter(copy -> !copy.isUnloading() && copy.site().dataCentre().equals(dataCentre) && !copy.isStale())
                .count();
    }

    /** Returns the copies that the demand calls for within the bounds of the rule. */
    int wanted(PlacementSettings settings) {
        int minimum = rule.map(Rules.Model::minimumCopies).orElse(0);
        int maximum = rule.map(Rules.Model::maximumCopies).orElse(Integer.MAX_VALUE);
        return Math.min(maximum, Math.max(minimum, settings.wantedCopies(demand.rate())));
    }

    /** Returns the copies that are not idle, within the bounds of the rule. */
    int kept(PlacementSettings settings) {
        int minimum = rule.map(Rules.Model::minimumCopies).orElse(0);
        int maximum = rule.map(Rules.Model::maximumCopies).orElse(Integer.MAX_VALUE);
        return Math.min(maximum, Math.max(minimum, settings.keptCopies(demand.rate())));
    }

    int minimum() {
        return rule.map(Rules.Model::minimumCopies).orElse(0);
    }

    double ratePerCopy() {
        return demand.rate() / Math.max(1, ready());
    }
}
