package org.sassafrastrail.router;

import java.util.List;

import org.sassafrastrail.durable.VmEntry;

/** Picks the sidecars that a router links to, so that links do not grow as routers times upstreams. */
@FunctionalInterface
interface SidecarSelection {

    /**
     * Picks sidecars.
     *
     * @param sidecars all sidecars that the platform lists
     * @return the picked ones
     */
    List<VmEntry> select(List<VmEntry> sidecars);
}
