package org.basilrill.coordination.evacuation;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * The targets as model placement uses them: those in evacuated data centres count as leaving. They get no loads, and
 * their copies do not count, so that models which are only there are loaded elsewhere. Immutable; thread safe if its
 * dependencies are.
 */
public record PlacementTargets(TargetDirectory directory, Supplier<Set<String>> evacuatedDataCentres)
        implements TargetDirectory {
    @Override
    public Collection<TargetAnnouncement> targets() {
        Set<String> evacuated = evacuatedDataCentres.get();
        return evacuated.isEmpty()
                ? directory.targets()
                : directory.targets().stream()
                        .map(target -> marked(target, evacuated))
                        .toList();
    }

    @Override
    public Optional<TargetAnnouncement> target(TargetId id) {
        return directory.target(id).map(target -> marked(target, evacuatedDataCentres.get()));
    }

    @Override
    public Collection<TargetAnnouncement> readyFor(ModelId model) {
        return outside(directory.readyFor(model));
    }

    @Override
    public Collection<TargetAnnouncement> ofService(String service) {
        return outside(directory.ofService(service));
    }

    private Collection<TargetAnnouncement> outside(Collection<TargetAnnouncement> targets) {
        Set<String> evacuated = evacuatedDataCentres.get();
        return targets.stream()
                .filter(target -> !evacuated.contains(target.dataCentre()))
                .toList();
    }

    /** Keeps the sequence number, by which the freshness of the announcement is judged. */
    private static TargetAnnouncement marked(TargetAnnouncement target, Set<String> evacuated) {
        return evacuated.contains(target.dataCentre()) ? target.asLeaving().withSequence(target.sequence()) : target;
    }
}
