package org.sassafrastrail.sidecar.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;

/** Remembers which of the latest grants were used to begin an attempt. */
public final class UsedGrants {

    /** How many of the latest grants are remembered. */
    static final long REMEMBERED = 20_000;

    static final UsedGrants NONE = new UsedGrants(HashTreePMap.empty(), 0);

    private final PMap<Long, Boolean> begun;
    private final long newest;

    private UsedGrants(PMap<Long, Boolean> begun, long newest) {
        this.begun = begun;
        this.newest = newest;
    }

    UsedGrants plus(GrantIdentifier grant) {
        return new UsedGrants(begun.plus(grant.sequence(), true), newest);
    }

    /** Forgets the oldest grant when a new one is made. */
    UsedGrants granted(long sequence) {
        return new UsedGrants(begun.minus(sequence - REMEMBERED), sequence);
    }

    /** Tells what became of the attempt of a grant that is not running. */
    AttemptReport.State state(GrantIdentifier grant) {
        if (begun.containsKey(grant.sequence())) {
            return AttemptReport.State.ENDED;
        }
        boolean remembered = grant.sequence() > newest - REMEMBERED;
        return remembered ? AttemptReport.State.NOT_BEGUN : AttemptReport.State.FORGOTTEN;
    }
}
