package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.messages.LimitUpdate;
import org.sassafrastrail.messages.LimitedUpstream;
import org.sassafrastrail.messages.PermitAnswer;
import org.sassafrastrail.messages.PermitRequest;

/** Converts what gateways tell each other of limits between the form of the core and the messages on the wire. */
final class RateLimitMapper {

    private static final long MAX_MILLISECONDS = Duration.ofDays(1).toMillis();

    private RateLimitMapper() {}

    static LimitUpdate toMessage(List<LimitReport> reports) {
        return new LimitUpdate(reports.stream().map(RateLimitMapper::toMessage).toList());
    }

    private static LimitedUpstream toMessage(LimitReport report) {
        return new LimitedUpstream(
                report.upstream().upstream(),
                report.upstream().startedAtMillis(),
                report.requestsPerSecond(),
                report.age().toMillis());
    }

    static PermitRequest toMessage(GatewayAction.RequestPermit request) {
        return new PermitRequest(toMessage(request.limit()));
    }

    static PermitAnswer toMessage(GatewayAction.AnswerPermitRequest answer) {
        return new PermitAnswer(
                answer.upstream().upstream(),
                answer.upstream().startedAtMillis(),
                answer.granted(),
                answer.delay().toMillis());
    }

    static List<LimitReport> fromMessage(LimitUpdate message) {
        return message.upstreams().stream()
                .filter(RateLimitMapper::isValid)
                .map(RateLimitMapper::fromMessage)
                .toList();
    }

    static boolean isValid(LimitedUpstream upstream) {
        OptionalDouble limit = upstream.requestsPerSecond();
        return limit.isEmpty() || limit.getAsDouble() >= 0 && Double.isFinite(limit.getAsDouble());
    }

    static LimitReport fromMessage(LimitedUpstream upstream) {
        return new LimitReport(
                new UpstreamIncarnation(upstream.upstream(), upstream.startedAtMillis()),
                upstream.requestsPerSecond(),
                duration(upstream.ageMilliseconds()));
    }

    static GatewayEvent.PermitAnswered fromMessage(PermitAnswer message) {
        return new GatewayEvent.PermitAnswered(
                new UpstreamIncarnation(message.upstream(), message.startedAtMillis()),
                message.granted(),
                duration(message.delayMilliseconds()));
    }

    /** Limits a time, so that others can be computed from it. */
    private static Duration duration(long milliseconds) {
        return Duration.ofMillis(Math.max(0, Math.min(milliseconds, MAX_MILLISECONDS)));
    }
}
