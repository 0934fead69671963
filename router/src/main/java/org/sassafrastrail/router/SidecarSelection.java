package org.sassafrastrail.router;

import java.util.List;

import org.sassafrastrail.durable.VmEntry;

/**
 * Selects the sidecars that a router links to. This limits the number of links, which would otherwise grow with the
 * product of routers and upstreams.
 */
@FunctionalInterface
interface SidecarSelection {

    /**
     * Selects sidecars.
     *
     * @param sidecars all sidecars in the platform's VM list
     * @return the selected sidecars
     */
    List<VmEntry> select(List<VmEntry> sidecars);
}
