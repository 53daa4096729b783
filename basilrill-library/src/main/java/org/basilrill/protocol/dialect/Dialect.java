package org.basilrill.protocol.dialect;

import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.state.configuration.RulesFormat;

/**
 * How an instance and its surroundings speak to one another. A dialect translates between messages and typed values and
 * decides nothing. Implementations are stateless and thread safe.
 */
public interface Dialect {
    /** Returns the format of the operators' rules. */
    RulesFormat rulesFormat();

    /** Returns how callers speak. */
    CallerDialect callers();

    /** Returns how engines are asked and ordered. */
    EngineDialect engines();

    /** Returns the routes for targets, operators and callers that the instance serves itself. */
    PlainRoutes routes(InstanceAccess instance);
}
