package org.basilrill.scaffold.target;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * What a fake target is to be. Immutable.
 *
 * @param announcedPort port that instances connect to; differs from the port it listens on only behind a relay
 * @param instances addresses of the instances it announces itself to
 * @param tokenInterval time between two generated tokens
 * @param loadDuration time that loading a model takes
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
