package org.sassafrastrail.duty;

/**
 * The number by which the receiver of a call tells a later holder of a duty from an earlier one. It is higher for each new
 * holder. The era of the store is its upper part, so that a store that comes back from an older copy, and with it an earlier
 * term, leads to no token a second time.
 *
 * @param number the token as it is sent
 */
public record FencingToken(long number) implements Comparable<FencingToken> {

    /** The token that precedes those of all holders. */
    public static final FencingToken NONE = new FencingToken(0);

    /** With 32 bits of terms, tokens of the first two million eras are exact in JSON numbers, which have 53 bits. */
    private static final int TERM_BITS = 32;

    /**
     * Returns the token of the next holder.
     *
     * @param era the era of the store
     * @return a token above this one
     */
    public FencingToken next(long era) {
        return new FencingToken(Math.max(number + 1, (era << TERM_BITS) + 1));
    }

    /**
     * Returns the token that precedes all of an era and follows all of the eras before.
     *
     * @param era the era of the store
     * @return the token, which no holder has
     */
    public static FencingToken beforeEra(long era) {
        return new FencingToken(era << TERM_BITS);
    }

    /**
     * Returns the higher of two tokens.
     *
     * @param other the other token
     * @return the higher one
     */
    public FencingToken max(FencingToken other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
