package org.sassafrastrail.rollout;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.rules.RuleSet;

/**
 * What the controller knows.
 *
 * @param knowledge what this node knows of rules, evidence and steps
 * @param lease the lease, while this node holds it
 * @param records the moves as the platform's table holds them
 */
public record RolloutState(
        RolloutEvent.Knowledge knowledge, Optional<ControllerLease> lease, PMap<MoveIdentifier, MoveRecord> records) {

    /** Nothing is known. */
    public static final RolloutState START = new RolloutState(
            new RolloutEvent.Knowledge(RuleSet.EMPTY, EvidenceLedger.EMPTY, MoveBoard.EMPTY),
            Optional.empty(),
            HashTreePMap.empty());

    RolloutState with(RolloutEvent.Knowledge next) {
        return new RolloutState(next, lease, records);
    }

    RolloutState holding(ControllerLease next) {
        boolean sameFence = lease.filter(known -> known.fence() == next.fence()).isPresent();
        return new RolloutState(knowledge, Optional.of(next), sameFence ? records : HashTreePMap.empty());
    }

    RolloutState withoutLease() {
        return new RolloutState(knowledge, Optional.empty(), HashTreePMap.empty());
    }

    RolloutState with(MoveIdentifier move, MoveRecord next) {
        return new RolloutState(knowledge, lease, records.plus(move, next));
    }
}
