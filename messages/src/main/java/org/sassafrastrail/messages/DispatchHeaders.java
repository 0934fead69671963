package org.sassafrastrail.messages;

/** The HTTP headers of a dispatch, the request that a router sends to a sidecar under a grant, and of its response. */
public final class DispatchHeaders {

    /** The identifier of the request. */
    public static final String REQUEST = "X-Sassafrastrail-Request";

    /** The number of the attempt, 1 for the first. */
    public static final String ATTEMPT = "X-Sassafrastrail-Attempt";

    /** The incarnation of the sidecar that issued the grant. */
    public static final String GRANT_INCARNATION = "X-Sassafrastrail-Grant-Incarnation";

    /** The sequence number of the grant. */
    public static final String GRANT_SEQUENCE = "X-Sassafrastrail-Grant-Sequence";

    /** The HTTP method of the request to the upstream. */
    public static final String METHOD = "X-Sassafrastrail-Method";

    /** The path of the request to the upstream. */
    public static final String PATH = "X-Sassafrastrail-Path";

    /** The caller's cost hint in tokens. */
    public static final String HINT = "X-Sassafrastrail-Hint";

    /** The route of the request, by which the sidecar groups its evidence on versions. */
    public static final String ROUTE = "X-Sassafrastrail-Route";

    /** The shared key that authenticates the processes of the fleet to each other. */
    public static final String LINK_KEY = "X-Sassafrastrail-Link-Key";

    /** The outcome of the attempt, one of the {@code OUTCOME_} values. */
    public static final String OUTCOME = "X-Sassafrastrail-Outcome";

    /** The reason why the attempt did not run or its outcome is unknown. */
    public static final String REASON = "X-Sassafrastrail-Reason";

    /** The upstream responded; status and body are the upstream's. */
    public static final String OUTCOME_ANSWERED = "answered";

    /** The attempt did not run. */
    public static final String OUTCOME_NOT_RUN = "not-run";

    /** The outcome is unknown. */
    public static final String OUTCOME_UNKNOWN = "unknown";

    private DispatchHeaders() {}
}
