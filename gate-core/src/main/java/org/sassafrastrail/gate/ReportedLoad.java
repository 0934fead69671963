package org.sassafrastrail.gate;

/**
 * The load that an upstream reported with a response.
 *
 * @param running the number of requests that it runs, from all callers
 * @param waiting the number of requests that wait in its queue
 * @param slots the number of requests that it can run at once
 */
public record ReportedLoad(int running, int waiting, int slots) {

    int total() {
        return running + waiting;
    }
}
