package org.sassafrastrail.gateway;

import java.util.function.UnaryOperator;

import org.sassafrastrail.http.CheckedSource;
import org.sassafrastrail.http.ChunkChecker;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Puts an {@link UnproductiveReadLimit} and a {@link ChunkChecker} in front of what reads from new connections. Confined to one
 * I/O thread.
 */
final class UpstreamSourceWrapper implements UnaryOperator<StreamSourceConduit> {

    private UnproductiveReadLimit lastLimit;
    private ChunkChecker lastChecker;

    @Override
    public StreamSourceConduit apply(StreamSourceConduit source) {
        lastLimit = new UnproductiveReadLimit(source);
        lastChecker = new ChunkChecker();
        return new CheckedSource(lastLimit, lastChecker);
    }

    /** Returns the limit of the connection that was opened last. */
    UnproductiveReadLimit lastLimit() {
        return lastLimit;
    }

    /** Returns the checker of the connection that was opened last. */
    ChunkChecker lastChecker() {
        return lastChecker;
    }
}
