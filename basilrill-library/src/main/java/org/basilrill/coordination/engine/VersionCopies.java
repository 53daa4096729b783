package org.basilrill.coordination.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.ModelId;

/**
 * Copies of models by the software version of the engines that hold them. A stream goes on only at an engine of the
 * version that began it, so the only copy of a model at a version leaves its streams nowhere to go when its engine
 * fails. Immutable and thread safe.
 */
final class VersionCopies {
    private static final String UNSTATED = "";

    private final Set<String> versions = new HashSet<>();
    private final Map<VersionedModel, Integer> copies = new HashMap<>();

    VersionCopies(Collection<EngineState> engines) {
        for (EngineState engine : engines) {
            if (!isConfirmed(engine)) {
                continue;
            }
            versions.add(versionOf(engine));
            engine.residentOrLoadingModels()
                    .forEach(model -> copies.merge(new VersionedModel(versionOf(engine), model), 1, Integer::sum));
        }
    }

    /** Returns whether engines of several versions are in service. */
    boolean several() {
        return versions.size() > 1;
    }

    /** Returns whether a copy at the engine would be the second one of its version. */
    boolean wouldBeSecond(EngineState engine, ModelId model) {
        return isConfirmed(engine) && copies.getOrDefault(new VersionedModel(versionOf(engine), model), 0) == 1;
    }

    /** Orders engines so that those come first where a copy would be the second one of its version. */
    Comparator<EngineState> secondFirst(ModelId model) {
        return Comparator.comparing(engine -> several() && !wouldBeSecond(engine, model));
    }

    private static boolean isConfirmed(EngineState engine) {
        return !engine.announcement().hasUnconfirmedVersion();
    }

    private static String versionOf(EngineState engine) {
        return engine.announcement().softwareVersion().orElse(UNSTATED);
    }

    /** A model at the engines of one version. */
    private record VersionedModel(String version, ModelId model) {}
}
