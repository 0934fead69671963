package org.sassafrastrail.sidecar.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;

/** Remembers which of the latest grants were used to begin an attempt. */
public final class BegunAttempts {

    /** How many of the latest grants are remembered. */
    static final long REMEMBERED = 20_000;

    static final BegunAttempts NONE = new BegunAttempts(HashTreePMap.empty(), 0);

    private final PMap<Long, Boolean> begun;
    private final long newest;

    private BegunAttempts(PMap<Long, Boolean> begun, long newest) {
        this.begun = begun;
        this.newest = newest;
    }

    BegunAttempts plus(GrantIdentifier grant) {
        return new BegunAttempts(begun.plus(grant.sequence(), true), newest);
    }

    /** Forgets the oldest grant when a new one is made. */
    BegunAttempts granted(long sequence) {
        return new BegunAttempts(begun.minus(sequence - REMEMBERED), sequence);
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
