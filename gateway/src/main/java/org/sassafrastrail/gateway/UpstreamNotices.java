package org.sassafrastrail.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

import org.sassafrastrail.gate.Upstream;

/**
 * The upstreams that said in a response that they want no more requests. It holds back those requests that the control
 * thread dispatched before it learnt of the notice. Confined to one I/O thread.
 */
final class UpstreamNotices {

    /** More than the upstreams that drain within the time that the control thread takes to learn of a notice. */
    private static final int MAX_DRAINING = 1024;

    private final Map<Identity, Boolean> draining = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Identity, Boolean> eldest) {
            return size() > MAX_DRAINING;
        }
    };

    /** What distinguishes one process of an upstream from another. */
    private record Identity(String identifier, long startedAtMillis) {

        static Identity of(Upstream upstream) {
            return new Identity(upstream.identifier().value(), upstream.startedAtMillis());
        }
    }

    void setDraining(Upstream upstream) {
        draining.put(Identity.of(upstream), true);
    }

    boolean acceptsRequests(Upstream upstream) {
        return !draining.containsKey(Identity.of(upstream));
    }
}
