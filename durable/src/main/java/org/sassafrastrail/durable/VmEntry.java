package org.sassafrastrail.durable;

import org.sassafrastrail.model.NodeName;

/**
 * An entry of the VM list: one VM and the process of the system on it.
 *
 * @param node the name of the process
 * @param role the role of the process
 * @param host the address of the VM
 * @param port the control port of a sidecar, the HTTP port of a router
 * @param leaving whether the platform is about to remove the VM
 */
public record VmEntry(NodeName node, Role role, String host, int port, boolean leaving) {

    /** The role of a process. */
    public enum Role {
        /** A router on an entry VM. */
        ROUTER,
        /** The sidecar of an upstream. */
        SIDECAR
    }
}
