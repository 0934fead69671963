package org.sassafrastrail.durable;

import java.util.List;
import java.util.Optional;

/** The platform's list of VMs. It lags: it tells where to look, never who is alive. */
@FunctionalInterface
public interface VmList {

    /**
     * Lists the VMs.
     *
     * @return the VMs, or empty if the platform did not answer
     */
    Optional<List<VmEntry>> list();
}
