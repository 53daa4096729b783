package org.basilrill.protocol.dialect;

import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.state.configuration.RulesFormat;

/**
 * Message formats between an instance and its callers, operators, engines and other targets. A dialect translates
 * between messages and typed values and makes no decisions. Implementations are stateless and thread safe.
 */
public interface Dialect {
    /** Returns the format of the operators' rules. */
    RulesFormat rulesFormat();

    /** Returns the format of requests from callers and of responses to them. */
    CallerDialect callers();

    /** Returns the format of state requests and target orders to engines. */
    EngineDialect engines();

    /** Returns the routes that the instance serves itself for targets, operators and callers. */
    PlainRoutes routes(InstanceAccess instance);
}
