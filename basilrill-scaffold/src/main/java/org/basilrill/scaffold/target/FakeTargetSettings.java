package org.basilrill.scaffold.target;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * Settings of a fake target. Immutable.
 *
 * @param announcedPort port that instances connect to; differs from the listening port only behind a relay
 * @param instances addresses of the instances that the target announces itself to
 * @param tokenInterval time between two generated tokens
 * @param loadDuration time to load a model
 */
public record FakeTargetSettings(
        String name,
        String host,
        int port,
        int announcedPort,
        String dataCentre,
        Optional<String> service,
        List<String> instances,
        long memoryBytes,
        Map<ModelId, LoadedModel> contents,
        int slots,
        boolean enforcesFencing,
        Duration tokenInterval,
        Duration loadDuration) {}
