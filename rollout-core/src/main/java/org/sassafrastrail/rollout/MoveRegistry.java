package org.sassafrastrail.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.MoveRule;
import org.sassafrastrail.rules.RuleSet;
import org.sassafrastrail.rules.TargetRule;

/**
 * The latest step and the suspension of each version move known at this node. Steps only advance, and suspensions are
 * never removed.
 */
public final class MoveRegistry {

    /** A registry without moves. */
    public static final MoveRegistry EMPTY = new MoveRegistry(HashTreePMap.empty(), HashTreePMap.empty());

    private final PMap<MoveIdentifier, MoveProgress> progress;
    private final PMap<MoveIdentifier, Suspension> suspensions;

    private MoveRegistry(PMap<MoveIdentifier, MoveProgress> progress, PMap<MoveIdentifier, Suspension> suspensions) {
        this.progress = progress;
        this.suspensions = suspensions;
    }

    /**
     * Merges steps and suspensions of another node.
     *
     * @param steps recorded steps
     * @param newSuspensions suspensions
     * @return the merged registry; this instance if nothing was new
     */
    public MoveRegistry merge(Collection<MoveProgress> steps, Collection<Suspension> newSuspensions) {
        MoveRegistry withSteps = steps.stream().reduce(this, MoveRegistry::plus, (first, second) -> second);
        return newSuspensions.stream().reduce(withSteps, MoveRegistry::plus, (first, second) -> second);
    }

    /**
     * Adds a recorded step.
     *
     * @param step the step
     * @return the registry; this instance if the step is not newer than the known one
     */
    public MoveRegistry plus(MoveProgress step) {
        MoveProgress known = progress.get(step.move());
        return known != null && !step.isNewerThan(known)
                ? this
                : new MoveRegistry(progress.plus(step.move(), step), suspensions);
    }

    /**
     * Adds a suspension.
     *
     * @param suspension the suspension
     * @return the registry; this instance if the move is already suspended
     */
    public MoveRegistry plus(Suspension suspension) {
        return suspensions.containsKey(suspension.move())
                ? this
                : new MoveRegistry(progress, suspensions.plus(suspension.move(), suspension));
    }

    /**
     * Returns the progress of a move.
     *
     * @param move the move
     * @return its latest known step, or the start of the move if none is known
     */
    public MoveProgress progress(MoveIdentifier move) {
        MoveProgress known = progress.get(move);
        return known == null ? MoveProgress.start(move) : known;
    }

    /**
     * Returns the suspension of a move.
     *
     * @param move the move
     * @return its suspension, if there is one
     */
    public Optional<Suspension> suspension(MoveIdentifier move) {
        return Optional.ofNullable(suspensions.get(move));
    }

    /**
     * Returns the latest known steps.
     *
     * @return the latest step of each move
     */
    public List<MoveProgress> steps() {
        return List.copyOf(progress.values());
    }

    /**
     * Returns all known suspensions.
     *
     * @return the suspensions
     */
    public List<Suspension> suspensions() {
        return List.copyOf(suspensions.values());
    }

    /**
     * Returns the share of the traffic of a model or service that a version may receive.
     *
     * @param rules the rules in force
     * @param target the model or service
     * @param version the version
     * @return its share
     */
    public TrafficShare share(RuleSet rules, TargetName target, VersionName version) {
        Optional<MoveIdentifier> move = rules.move(target).map(MoveRule::move);
        if (move.isPresent() && version.equals(move.get().to())) {
            return newVersionShare(move.get());
        }
        if (move.isPresent() && version.equals(move.get().from())) {
            return newVersionShare(move.get()).complement();
        }
        boolean inForce = rules.target(target).map(TargetRule::version).equals(Optional.of(version));
        return inForce && move.isEmpty() ? TrafficShare.FULL : TrafficShare.NONE;
    }

    /**
     * Returns whether a version is the new version of the move in force, and that move is suspended or rolled back.
     *
     * @param rules the rules in force
     * @param target the model or service
     * @param version the version
     * @return whether it is suspended
     */
    public boolean isSuspended(RuleSet rules, TargetName target, VersionName version) {
        return rules.move(target)
                .map(MoveRule::move)
                .filter(move -> move.to().equals(version))
                .filter(move ->
                        suspensions.containsKey(move) || progress(move).verdict() == MoveProgress.Verdict.TAKEN_BACK)
                .isPresent();
    }

    private TrafficShare newVersionShare(MoveIdentifier move) {
        boolean suspended =
                suspensions.containsKey(move) || progress(move).verdict() == MoveProgress.Verdict.TAKEN_BACK;
        return suspended ? TrafficShare.NONE : progress(move).share();
    }
}
