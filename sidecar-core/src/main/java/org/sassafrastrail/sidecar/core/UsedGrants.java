package org.sassafrastrail.sidecar.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;

/** Remembers which of the latest grants were used to begin an attempt. */
public final class UsedGrants {

    /** How many of the latest grants are remembered. */
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

    /** Forgets the oldest grant when a new one is made. */
    UsedGrants granted(long sequence) {
        return new UsedGrants(used.minus(sequence - HISTORY_SIZE), sequence);
    }

    /** Tells what became of the attempt of a grant that is not running. */
    AttemptReport.State state(GrantIdentifier grant) {
        if (used.containsKey(grant.sequence())) {
            return AttemptReport.State.ENDED;
        }
        boolean inHistory = grant.sequence() > newestSequence - HISTORY_SIZE;
        return inHistory ? AttemptReport.State.NOT_BEGUN : AttemptReport.State.FORGOTTEN;
    }
}
