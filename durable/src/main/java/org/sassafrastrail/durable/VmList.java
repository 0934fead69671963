package org.sassafrastrail.durable;

import java.util.List;
import java.util.Optional;

/** The platform's list of VMs. It lags behind: use it to discover addresses, never to decide which VM is alive. */
@FunctionalInterface
public interface VmList {

    /**
     * Lists the VMs.
     *
     * @return the VMs, or empty if the list could not be read
     */
    Optional<List<VmEntry>> list();
}
