package org.basilrill.coordination.evacuation;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.basilrill.api.LogEvent;
import org.basilrill.state.control.ControlView;

/**
 * Puts the evacuations of each new view in force at this instance. Also recognises an evacuation that began and ended
 * between two views. Called with one view at a time, in the order of their indexes.
 */
public final class EvacuationWatch implements Consumer<ControlView> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Consumer<Set<String>> enforcement;
    private final EvacuationEndListener endListener;
    private final Runnable recheck;
    private ControlView last = ControlView.empty();

    /**
     * Creates a watch for an instance without evacuations.
     *
     * @param enforcement receives the data centres whose targets get no requests
     * @param recheck called after each change, for the requests that are queued
     */
    public EvacuationWatch(Consumer<Set<String>> enforcement, EvacuationEndListener endListener, Runnable recheck) {
        this.enforcement = enforcement;
        this.endListener = endListener;
        this.recheck = recheck;
    }

    @Override
    public void accept(ControlView view) {
        ControlView before = last;
        last = view;
        if (view.evacuatedDataCentres().equals(before.evacuatedDataCentres())
                && view.endedEvacuations().equals(before.endedEvacuations())) {
            return;
        }
        Set<String> evacuated = view.evacuatedDataCentres().keySet();
        for (String begun : without(evacuated, before.evacuatedDataCentres().keySet())) {
            LOGGER.atInfo().log("%s: %s", LogEvent.EVACUATION_IN_FORCE, begun);
        }
        // Before the targets get requests again: the listener may limit these.
        for (String ended : endedSince(before, view)) {
            LOGGER.atInfo().log("%s: %s", LogEvent.EVACUATION_ENDED, ended);
            endListener.ended(ended);
        }
        enforcement.accept(evacuated);
        recheck.run();
    }

    /** Returns the ends that are new in a view. Those in the first view of a process may be long past. */
    private static Set<String> endedSince(ControlView before, ControlView view) {
        Set<String> ended = new TreeSet<>();
        view.endedEvacuations().forEach((dataCentre, index) -> {
            if (before.index() > 0 && index > before.index()) {
                ended.add(dataCentre);
            }
        });
        ended.addAll(without(
                before.evacuatedDataCentres().keySet(),
                view.evacuatedDataCentres().keySet()));
        return ended;
    }

    private static Set<String> without(Set<String> names, Set<String> excluded) {
        Set<String> remaining = new TreeSet<>(names);
        remaining.removeAll(excluded);
        return remaining;
    }
}
