package org.sassafrastrail.gate.capacity;

/** The kinds of work of which response times are learned, each with its own measure of work. */
public enum WorkKind {

    /** The prefill at an engine: time to the first event against the tokens prefilled until then. */
    PREFILL(1_500),

    /** A request to a plain service: response time against the requests that it was running. */
    SERVICE(1);

    private final double priorDeviation;

    WorkKind(double priorDeviation) {
        this.priorDeviation = priorDeviation;
    }

    /** Returns the deviation from the mean work at which one response counts as much as the prior of the slope. */
    double priorDeviation() {
        return priorDeviation;
    }
}
