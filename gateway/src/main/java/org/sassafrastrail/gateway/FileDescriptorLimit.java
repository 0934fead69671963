package org.sassafrastrail.gateway;

import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

import com.sun.management.UnixOperatingSystemMXBean;

/** How many of this process's file descriptors callers' connections may take. */
final class FileDescriptorLimit {

    /** Each request that runs needs another one to its upstream; links, the store and files take the rest. */
    private static final double CALLER_SHARE = 0.5;

    /** However many the system allows: the buffers of this many fit into a small VM's memory. */
    private static final int MAX_CONNECTIONS = 3_000;

    private FileDescriptorLimit() {}

    /** The number of callers' connections that may be open. */
    static int maxCallerConnections() {
        OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
        long limit = system instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : -1;
        return limit <= 0 ? MAX_CONNECTIONS : (int) Math.min(MAX_CONNECTIONS, Math.round(limit * CALLER_SHARE));
    }
}
