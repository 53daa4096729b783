package org.basilrill.scaffold.virtual;

import java.util.OptionalDouble;
import org.basilrill.api.InstanceId;

/** A response that stated a request rate to an instance, empty if the response stated none. */
public record RateStatement(InstanceId instance, OptionalDouble perSecond, long nanos) {}
