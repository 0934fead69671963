package org.sassafrastrail.standins;

import java.util.List;

/**
 * The stand-ins of one process.
 *
 * @param host the address that all listen on
 * @param platforms platforms
 * @param engines model engines
 * @param services plain services
 * @param logLevel the level of the log
 */
public record StandInSettings(
        String host,
        List<PlatformSettings> platforms,
        List<EngineSettings> engines,
        List<ServiceSettings> services,
        String logLevel) {

    /**
     * A platform.
     *
     * @param port its port
     * @param weightBytesPerSecond how fast its weight store gives weights, to all readers together
     * @param vms the VMs that it lists
     */
    public record PlatformSettings(int port, long weightBytesPerSecond, List<VmSettings> vms) {}

    /**
     * A VM that a platform lists.
     *
     * @param node the process on it
     * @param role {@code router} or {@code sidecar}
     * @param host its address
     * @param port the process's port
     * @param leaving whether the platform is taking it away
     */
    public record VmSettings(String node, String role, String host, int port, boolean leaving) {}

    /**
     * A model engine.
     *
     * @param port its port
     * @param coldCapacity how many requests it bears in a cold start; one more and it falls over
     * @param warmCapacity how many requests it bears when warm; it refuses more
     * @param warmAfter how many answers make it warm
     * @param tokenMilliseconds how long a token takes
     * @param lagMilliseconds by how much its load reports lag
     * @param honoursFencing whether it refuses an order with an old fencing token
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
     * A plain service.
     *
     * @param port its port
     * @param callMilliseconds how long a call takes
     */
    public record ServiceSettings(int port, long callMilliseconds) {}
}
