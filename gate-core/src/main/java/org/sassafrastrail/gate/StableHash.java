package org.sassafrastrail.gate;

/** A 64-bit hash that is the same in every process. */
final class StableHash {

    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final int HALF = 32;

    private StableHash() {}

    /** Hashes a text with FNV-1a and mixes the high bits into the low ones. */
    static long of(String text) {
        long hash = OFFSET;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return avalanche(hash);
    }

    /** Combines two hashes into one. */
    static long combine(long one, long other) {
        return avalanche(avalanche(one) ^ other);
    }

    private static long avalanche(long hash) {
        long mixed = (hash ^ (hash >>> HALF)) * PRIME;
        return mixed ^ (mixed >>> HALF);
    }
}
