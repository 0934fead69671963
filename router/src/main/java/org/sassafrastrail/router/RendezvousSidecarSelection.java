package org.sassafrastrail.router;

import java.util.Comparator;
import java.util.List;

import org.sassafrastrail.durable.VmEntry;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.rules.KeyDigest;

/**
 * Selects a limited number of sidecars by rendezvous hashing, so that few links change when a VM is added or removed.
 */
final class RendezvousSidecarSelection implements SidecarSelection {

    private final NodeName router;
    private final int limit;

    RendezvousSidecarSelection(NodeName router, int limit) {
        this.router = router;
        this.limit = limit;
    }

    @Override
    public List<VmEntry> select(List<VmEntry> sidecars) {
        return sidecars.size() <= limit
                ? sidecars
                : sidecars.stream()
                        .sorted(Comparator.comparing(this::rank))
                        .limit(limit)
                        .toList();
    }

    private String rank(VmEntry sidecar) {
        return KeyDigest.of(router + "/" + sidecar.node()).hexadecimal();
    }
}
