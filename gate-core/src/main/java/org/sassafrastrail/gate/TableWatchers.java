package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The gateways of a failure domain that read the tables of the store for all gateways there: the first two by rendezvous hashing.
 * Gateways that are connected to the same ones agree on them without a message. In a domain with two gateways or fewer, each
 * reads for itself.
 *
 * @param self the name of this gateway
 * @param others the names of the connected gateways of its failure domain
 */
public record TableWatchers(String self, Set<String> others) {

    /** With two, the loss of one is not noticed by the others. */
    private static final int WATCHERS = 2;

    private static final long KEY = StableHash.of("table-watchers");

    /**
     * Returns whether this gateway is one of them.
     *
     * @return whether it has to read the tables
     */
    public boolean includeThisGateway() {
        return Stream.concat(Stream.of(self), others.stream())
                .sorted(Comparator.comparingLong(TableWatchers::rank).thenComparing(Comparator.naturalOrder()))
                .limit(WATCHERS)
                .anyMatch(self::equals);
    }

    private static long rank(String gateway) {
        return StableHash.combine(StableHash.of(gateway), KEY);
    }
}
