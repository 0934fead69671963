package org.sassafrastrail.gateway;

import java.util.Locale;
import java.util.regex.Pattern;

import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RefusalReason;

/** The error responses of the gateway itself. */
final class GatewayProblems {

    /** Request identifiers that can be quoted without escaping; a caller may send anything. */
    private static final Pattern QUOTABLE = Pattern.compile("[A-Za-z0-9._:~-]{1,128}");

    private GatewayProblems() {}

    static Problem refusal(int status, RefusalReason reason, String requestIdentifier) {
        String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        String quotable = QUOTABLE.matcher(requestIdentifier).matches() ? requestIdentifier : "";
        return new Problem(status, "not-run:" + name, "The request was refused and did not run.", quotable);
    }
}
