package org.basilrill.protocol.instance;

import org.basilrill.api.BasilrillException;
import org.basilrill.state.control.ControlResult;

/** Handles the result of a command or its failure; exactly one of them is null. */
@FunctionalInterface
interface ResultHandler {
    void handle(ControlResult result, BasilrillException problem);
}
