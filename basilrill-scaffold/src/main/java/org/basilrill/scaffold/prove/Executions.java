package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import org.basilrill.scaffold.prove.Exchange.Call;

/** The number of executions of each request body by a fake service. Immutable. */
final class Executions {
    private final JsonNode counts;

    private Executions(JsonNode counts) {
        this.counts = counts;
    }

    static Executions of(Exchange targetState) {
        ScenarioFailure.unless(targetState.ok(), "the state of the fake service", targetState.describe());
        return new Executions(targetState.json().path("executions"));
    }

    int of(Call call) {
        return counts.path(call.body()).asInt();
    }
}
