package org.sassafrastrail.rollout;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.rules.RuleSet;

/**
 * The state of the controller of version moves.
 *
 * @param inputs the rules, evidence and moves known at this node
 * @param lease the lease that this node acquired last, empty if another node holds it
 * @param records the moves as last seen in the platform's table
 */
public record RolloutState(
        RolloutEvent.InputsUpdated inputs, Optional<ControllerLease> lease, PMap<MoveIdentifier, MoveRecord> records) {

    /** The state before the first event. */
    public static final RolloutState INITIAL = new RolloutState(
            new RolloutEvent.InputsUpdated(RuleSet.EMPTY, EvidenceLedger.EMPTY, MoveRegistry.EMPTY),
            Optional.empty(),
            HashTreePMap.empty());

    RolloutState with(RolloutEvent.InputsUpdated next) {
        return new RolloutState(next, lease, records);
    }

    RolloutState withLease(ControllerLease next) {
        boolean sameFencingToken = lease.filter(known -> known.fencingToken() == next.fencingToken())
                .isPresent();
        return new RolloutState(inputs, Optional.of(next), sameFencingToken ? records : HashTreePMap.empty());
    }

    RolloutState withoutLease() {
        return new RolloutState(inputs, Optional.empty(), HashTreePMap.empty());
    }

    RolloutState with(MoveIdentifier move, MoveRecord next) {
        return new RolloutState(inputs, lease, records.plus(move, next));
    }
}
