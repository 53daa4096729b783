package org.basilrill.coordination.engine;

import org.basilrill.api.ModelId;
import org.basilrill.state.target.EngineOrder.Action;

/** An order that the planner has decided to send to an engine. */
record PlannedOrder(EngineState engine, Action action, ModelId model) {}
