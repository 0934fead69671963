package org.sassafrastrail.standins;

import java.util.List;

/**
 * Settings of the stand-ins of one process.
 *
 * @param host the address that all stand-ins listen on
 * @param platforms the platforms
 * @param engines the model engines
 * @param services the plain services
 * @param logLevel the log level
 */
public record StandInSettings(
        String host,
        List<PlatformSettings> platforms,
        List<EngineSettings> engines,
        List<ServiceSettings> services,
        String logLevel) {

    /**
     * Settings of a platform.
     *
     * @param port the port to listen on
     * @param weightBytesPerSecond the transfer rate of the weight store, shared by all readers
     * @param vms the VMs in the platform's VM list
     */
    public record PlatformSettings(int port, long weightBytesPerSecond, List<VmSettings> vms) {}

    /**
     * An entry of the platform's VM list.
     *
     * @param node the node name of the process on the VM
     * @param role {@code router} or {@code sidecar}
     * @param host the address of the VM
     * @param port the port of the process
     * @param leaving whether the platform is removing the VM
     */
    public record VmSettings(String node, String role, String host, int port, boolean leaving) {}

    /**
     * Settings of a model engine.
     *
     * @param port the port to listen on
     * @param coldCapacity the maximum number of concurrent requests while cold; one more crashes the engine
     * @param warmCapacity the maximum number of concurrent requests; the engine rejects further ones
     * @param warmAfter the number of completed streams after a start until the engine is warm
     * @param tokenMilliseconds the time between tokens
     * @param lagMilliseconds the delay of the load reports
     * @param honoursFencing whether the engine rejects orders with a stale fencing token
     */
    public record EngineSettings(
            int port,
            int coldCapacity,
            int warmCapacity,
            int warmAfter,
            long tokenMilliseconds,
            long lagMilliseconds,
            boolean honoursFencing) {}

    /**
     * Settings of a plain service.
     *
     * @param port the port to listen on
     * @param callMilliseconds the duration of a call
     */
    public record ServiceSettings(int port, long callMilliseconds) {}
}
