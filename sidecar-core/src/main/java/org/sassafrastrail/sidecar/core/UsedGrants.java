package org.sassafrastrail.sidecar.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;

/** History of the most recent grants that were used to start an attempt. */
public final class UsedGrants {

    /** The number of most recent grants that the history covers. */
    static final long HISTORY_SIZE = 20_000;

    static final UsedGrants NONE = new UsedGrants(HashTreePMap.empty(), 0);

    private final PMap<Long, Boolean> used;
    private final long newestSequence;

    private UsedGrants(PMap<Long, Boolean> used, long newestSequence) {
        this.used = used;
        this.newestSequence = newestSequence;
    }

    UsedGrants plus(GrantIdentifier grant) {
        return new UsedGrants(used.plus(grant.sequence(), true), newestSequence);
    }

    /** Advances the history to a newly issued grant and drops the oldest one. */
    UsedGrants granted(long sequence) {
        return new UsedGrants(used.minus(sequence - HISTORY_SIZE), sequence);
    }

    /** Returns the state of an attempt that is not running; grants outside the history are reported as forgotten. */
    AttemptReport.State state(GrantIdentifier grant) {
        if (used.containsKey(grant.sequence())) {
            return AttemptReport.State.ENDED;
        }
        boolean inHistory = grant.sequence() > newestSequence - HISTORY_SIZE;
        return inHistory ? AttemptReport.State.NOT_BEGUN : AttemptReport.State.FORGOTTEN;
    }
}
