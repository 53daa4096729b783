package org.basilrill.state.control;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.thrift.control.EvacuationCommand;
import org.basilrill.thrift.control.EvacuationState;

/**
 * The data centres whose targets get no requests, as operators requested. The last command about a data centre wins;
 * one that is applied again has no effect. Not thread safe.
 */
final class Evacuations {
    /** Bounds the state; far more than the calls of operators within the few seconds in which commands are repeated. */
    private static final int MAXIMUM_ATTEMPTS = 256;

    /** Bounds the state; an instance needs an end only until it has seen it. */
    private static final int MAXIMUM_ENDED = 64;

    /** Log index of the command that began the evacuation, by data centre. */
    private final TreeMap<String, Long> evacuated = new TreeMap<>();

    /** Log index of the command that ended the last evacuation, by data centre. */
    private final TreeMap<String, Long> ended = new TreeMap<>();

    /** The commands applied last, oldest first. */
    private final Set<Attempt> attempts = new LinkedHashSet<>();

    /** Returns the evacuated data centres as a live map. */
    Map<String, Long> evacuated() {
        return evacuated;
    }

    /** Returns the data centres whose evacuation has ended as a live map. */
    Map<String, Long> ended() {
        return ended;
    }

    ControlResult begin(long index, BeginEvacuation command) {
        if (isFirst(new Attempt(command.dataCentre(), command.attempt()))) {
            evacuated.putIfAbsent(command.dataCentre(), index);
            ended.remove(command.dataCentre());
        }
        return new Done();
    }

    ControlResult end(long index, EndEvacuation command) {
        if (isFirst(new Attempt(command.dataCentre(), command.attempt()))
                && evacuated.remove(command.dataCentre()) != null) {
            ended.put(command.dataCentre(), index);
            if (ended.size() > MAXIMUM_ENDED) {
                ended.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .map(Map.Entry::getKey)
                        .ifPresent(ended::remove);
            }
        }
        return new Done();
    }

    List<EvacuationState> evacuatedState() {
        return ViewCodec.evacuations(evacuated);
    }

    List<EvacuationState> endedState() {
        return ViewCodec.evacuations(ended);
    }

    List<EvacuationCommand> attemptState() {
        return attempts.stream()
                .map(attempt -> new EvacuationCommand(attempt.dataCentre(), attempt.number()))
                .toList();
    }

    void restore(
            List<EvacuationState> evacuatedState,
            List<EvacuationState> endedState,
            List<EvacuationCommand> attemptState) {
        evacuated.clear();
        evacuated.putAll(ViewCodec.evacuations(evacuatedState));
        ended.clear();
        ended.putAll(ViewCodec.evacuations(endedState));
        attempts.clear();
        attemptState.forEach(command -> attempts.add(new Attempt(command.getDataCentre(), command.getAttempt())));
    }

    private boolean isFirst(Attempt attempt) {
        boolean first = attempts.add(attempt);
        if (attempts.size() > MAXIMUM_ATTEMPTS) {
            Iterator<Attempt> oldest = attempts.iterator();
            oldest.next();
            oldest.remove();
        }
        return first;
    }

    /** One call of an operator. */
    private record Attempt(String dataCentre, long number) {}
}
