package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.basilrill.api.LogEvent;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlView;

/**
 * Stores the last received view and notifies listeners of new ones. The index of the view only increases. Listeners
 * receive the views in that order, one at a time. Thread safe; calls listeners outside its lock.
 */
final class ViewHolder {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final List<Consumer<ControlView>> listeners = new CopyOnWriteArrayList<>();
    private final Queue<ControlView> undelivered = new ArrayDeque<>();
    private ControlView view = ControlView.empty();
    private RulesSource rulesSource = new RulesSource(0, "");
    private boolean delivering;

    synchronized ControlView view() {
        return view;
    }

    synchronized RulesSource rulesSource() {
        return rulesSource;
    }

    /** Stores the source of newer rules; called before the view with these rules is installed. */
    synchronized void updateRulesSource(RulesSource candidate) {
        if (candidate.revision() > rulesSource.revision()) {
            rulesSource = candidate;
        }
    }

    void addViewListener(Consumer<ControlView> listener) {
        listeners.add(listener);
    }

    /** Installs a view unless the current one is at least as new. */
    void install(ControlView candidate) {
        synchronized (this) {
            if (candidate.index() <= view.index()) {
                return;
            }
            if (candidate.rules().revision() != view.rules().revision()) {
                LOGGER.atInfo().log(
                        "%s: %d", LogEvent.RULES_IN_FORCE, candidate.rules().revision());
            }
            view = candidate;
            undelivered.add(candidate);
            if (delivering) {
                return;
            }
            delivering = true;
        }
        deliver();
    }

    private void deliver() {
        while (true) {
            ControlView next;
            synchronized (this) {
                next = undelivered.poll();
                if (next == null) {
                    delivering = false;
                    return;
                }
            }
            for (Consumer<ControlView> listener : listeners) {
                notify(listener, next);
            }
        }
    }

    /** Calls one listener; its failure must not prevent the others from being notified of a revoked key. */
    private static void notify(Consumer<ControlView> listener, ControlView next) {
        try {
            listener.accept(next);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s", LogEvent.VIEW_LISTENER_FAILED);
        }
    }
}
