package org.basilrill.protocol.dialect;

import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.target.TargetNotices;

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

    /** Returns what a target states about itself in a response; in the response to any request. */
    TargetNotices targetNotices(ResponseHead response);

    /** Returns the routes that the instance serves itself for targets, operators and callers. */
    LocalRoutes routes(InstanceAccess instance);
}
