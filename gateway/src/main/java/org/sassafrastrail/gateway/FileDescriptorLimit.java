package org.sassafrastrail.gateway;

import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;

import com.sun.management.UnixOperatingSystemMXBean;

/** Limits callers' connections to a part of the file descriptors of this process. */
final class FileDescriptorLimit {

    /** Each request in flight needs another descriptor for its upstream; links, the store and files use the rest. */
    private static final double CALLER_SHARE = 0.5;

    /** The limit whatever the system allows: the buffers of this many connections fit into the memory of a small VM. */
    private static final int MAX_CONNECTIONS = 3_000;

    private FileDescriptorLimit() {}

    /** Returns the maximum number of open connections of callers. */
    static int maxCallerConnections() {
        OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
        long limit = system instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : -1;
        return limit <= 0 ? MAX_CONNECTIONS : (int) Math.min(MAX_CONNECTIONS, Math.round(limit * CALLER_SHARE));
    }
}
