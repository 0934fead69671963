package org.sassafrastrail.router;

import java.util.Locale;
import java.util.Map;

import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.UnknownReason;

/**
 * Maps refusals and failures to HTTP problem responses. A refusal states that the request did not run; an unknown
 * outcome states that it may have run.
 */
final class Problems {

    private static final Map<RefusalReason, Integer> STATUS = Map.ofEntries(
            Map.entry(RefusalReason.NO_CONFIGURATION, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.UNKNOWN_ACCOUNT, StatusCodes.UNAUTHORIZED),
            Map.entry(RefusalReason.UNKNOWN_TARGET, StatusCodes.NOT_FOUND),
            Map.entry(RefusalReason.MALFORMED_REQUEST, StatusCodes.BAD_REQUEST),
            Map.entry(RefusalReason.BODY_TOO_LARGE, StatusCodes.REQUEST_ENTITY_TOO_LARGE),
            Map.entry(RefusalReason.ACCOUNT_QUEUE_FULL, StatusCodes.TOO_MANY_REQUESTS),
            Map.entry(RefusalReason.DEADLINE_EXCEEDED, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.ROUTER_STOPPING, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.IDEMPOTENCY_KEY_CLAIMED, StatusCodes.CONFLICT),
            Map.entry(RefusalReason.IDEMPOTENCY_STORE_UNAVAILABLE, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.RETRY_BUDGET_SPENT, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.CALLER_GONE, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.HELD_TOO_LONG, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.UPSTREAM_CRASHES, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.UPSTREAMS_PAUSED, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.UPSTREAMS_LIMITED, StatusCodes.SERVICE_UNAVAILABLE),
            Map.entry(RefusalReason.UPSTREAM_DECLINED, StatusCodes.SERVICE_UNAVAILABLE));

    private Problems() {}

    static Problem refused(RequestIdentifier request, RefusalReason reason) {
        return new Problem(
                STATUS.get(reason),
                "not-run:" + name(reason),
                "The request was refused and did not run.",
                request.value());
    }

    static Problem unknown(RequestIdentifier request, UnknownReason reason) {
        return new Problem(
                StatusCodes.GATEWAY_TIME_OUT,
                "outcome-unknown:" + name(reason),
                "The request may have run once; it will not run again.",
                request.value());
    }

    static Problem failed(RequestIdentifier request, int status) {
        return new Problem(
                StatusCodes.BAD_GATEWAY,
                "upstream-failed:" + status,
                "Every attempt that was allowed failed at its upstream.",
                request.value());
    }

    private static String name(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
