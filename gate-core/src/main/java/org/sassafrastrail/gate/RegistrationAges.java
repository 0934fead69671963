package org.sassafrastrail.gate;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * How long each registered gateway has not renewed its registration, counted in reads of the registrations. Reads and not time
 * are counted, because nobody can renew while the store is unavailable, and a gateway that was frozen sees nothing meanwhile.
 *
 * @param ages the age of each registration, by the name of its gateway
 */
public record RegistrationAges(Map<String, Age> ages) {

    /** Without any registration. */
    public static final RegistrationAges NONE = new RegistrationAges(Map.of());

    /**
     * The age of a registration.
     *
     * @param version the version that the registration was read with
     * @param reads how often it was read with that version
     */
    public record Age(long version, int reads) {

        private Age readAgain(long readVersion) {
            return new Age(readVersion, readVersion == version ? reads + 1 : 1);
        }
    }

    /**
     * Counts a read of all registrations.
     *
     * @param versions the version of each registration
     * @return the ages after it
     */
    public RegistrationAges afterRead(Map<String, Long> versions) {
        return new RegistrationAges(versions.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, registration -> ages.getOrDefault(
                                registration.getKey(), new Age(registration.getValue(), 0))
                        .readAgain(registration.getValue()))));
    }

    /**
     * Returns the gateways that are gone.
     *
     * @param reads the reads without a renewal after which a gateway is gone
     * @return their names
     */
    public Set<String> gone(int reads) {
        return ages.entrySet().stream()
                .filter(registration -> registration.getValue().reads() >= reads)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
