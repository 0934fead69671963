package org.sassafrastrail.rollout;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.rules.RuleSet;

/**
 * What the controller knows.
 *
 * @param inputs what this node knows of rules, evidence and steps
 * @param lease the lease, while this node holds it
 * @param records the moves as the platform's table holds them
 */
public record RolloutState(
        RolloutEvent.InputsUpdated inputs, Optional<ControllerLease> lease, PMap<MoveIdentifier, MoveRecord> records) {

    /** Nothing is known. */
    public static final RolloutState INITIAL = new RolloutState(
            new RolloutEvent.InputsUpdated(RuleSet.EMPTY, EvidenceLedger.EMPTY, MoveRegistry.EMPTY),
            Optional.empty(),
            HashTreePMap.empty());

    RolloutState with(RolloutEvent.InputsUpdated next) {
        return new RolloutState(next, lease, records);
    }

    RolloutState withLease(ControllerLease next) {
        boolean sameFence = lease.filter(known -> known.fencingToken() == next.fencingToken())
                .isPresent();
        return new RolloutState(inputs, Optional.of(next), sameFence ? records : HashTreePMap.empty());
    }

    RolloutState withoutLease() {
        return new RolloutState(inputs, Optional.empty(), HashTreePMap.empty());
    }

    RolloutState with(MoveIdentifier move, MoveRecord next) {
        return new RolloutState(inputs, lease, records.plus(move, next));
    }
}
