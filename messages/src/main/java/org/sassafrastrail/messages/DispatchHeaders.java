package org.sassafrastrail.messages;

/** The HTTP headers between a router and a sidecar, which carry a request under its grant. */
public final class DispatchHeaders {

    /** The request's identifier. */
    public static final String REQUEST = "X-Sassafrastrail-Request";

    /** The number of the attempt. */
    public static final String ATTEMPT = "X-Sassafrastrail-Attempt";

    /** The life of the sidecar that made the grant. */
    public static final String GRANT_INCARNATION = "X-Sassafrastrail-Grant-Incarnation";

    /** The number of the grant. */
    public static final String GRANT_SEQUENCE = "X-Sassafrastrail-Grant-Sequence";

    /** The method for the upstream. */
    public static final String METHOD = "X-Sassafrastrail-Method";

    /** The path for the upstream. */
    public static final String PATH = "X-Sassafrastrail-Path";

    /** The caller's cost hint, in tokens. */
    public static final String HINT = "X-Sassafrastrail-Hint";

    /** The route, for the evidence on versions. */
    public static final String ROUTE = "X-Sassafrastrail-Route";

    /** The shared key of the fleet's links. */
    public static final String LINK_KEY = "X-Sassafrastrail-Link-Key";

    /** What became of the attempt, one of the {@code OUTCOME_} values. */
    public static final String OUTCOME = "X-Sassafrastrail-Outcome";

    /** Why an attempt did not run or its outcome is unknown. */
    public static final String REASON = "X-Sassafrastrail-Reason";

    /** The upstream answered; status and body are its own. */
    public static final String OUTCOME_ANSWERED = "answered";

    /** The attempt did not run. */
    public static final String OUTCOME_NOT_RUN = "not-run";

    /** The outcome is unknown. */
    public static final String OUTCOME_UNKNOWN = "unknown";

    private DispatchHeaders() {}
}
