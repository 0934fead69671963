package org.sassafrastrail.durable;

import org.sassafrastrail.model.NodeName;

/**
 * A VM with a process of the system.
 *
 * @param node the process
 * @param role what the process does
 * @param host its address
 * @param port its control port for a sidecar, its HTTP port for a router
 * @param leaving whether the platform is taking the VM away
 */
public record VmEntry(NodeName node, Role role, String host, int port, boolean leaving) {

    /** What a process does. */
    public enum Role {
        /** An entry VM's router. */
        ROUTER,
        /** The sidecar beside an upstream. */
        SIDECAR
    }
}
