package org.sassafrastrail.gate;

/** A hash that is the same in every process. */
final class Mixing {

    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int HALF = 32;

    private Mixing() {}

    /** Hashes a text (FNV-1a), and mixes the high bits into the low ones. */
    static long mix(String text) {
        long hash = OFFSET;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return fold(hash);
    }

    /** Mixes two hashes into one. */
    static long mix(long one, long other) {
        return fold(fold(one) ^ other);
    }

    private static long fold(long hash) {
        long folded = (hash ^ (hash >>> HALF)) * PRIME;
        return folded ^ (folded >>> HALF);
    }
}
