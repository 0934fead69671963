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

/** What this node has heard of version moves. Steps only go forward and suspensions only grow. */
public final class MoveRegistry {

    /** Nothing is known. */
    public static final MoveRegistry EMPTY = new MoveRegistry(HashTreePMap.empty(), HashTreePMap.empty());

    private final PMap<MoveIdentifier, MoveProgress> progress;
    private final PMap<MoveIdentifier, Suspension> suspensions;

    private MoveRegistry(PMap<MoveIdentifier, MoveProgress> progress, PMap<MoveIdentifier, Suspension> suspensions) {
        this.progress = progress;
        this.suspensions = suspensions;
    }

    /**
     * Takes over steps and suspensions that are news.
     *
     * @param steps recorded steps
     * @param newSuspensions suspensions
     * @return the merged registry; this instance if nothing was new
     */
    public MoveRegistry merge(Collection<MoveProgress> steps, Collection<Suspension> newSuspensions) {
        MoveRegistry stepped = steps.stream().reduce(this, MoveRegistry::plus, (first, second) -> second);
        return newSuspensions.stream().reduce(stepped, MoveRegistry::plus, (first, second) -> second);
    }

    /**
     * Takes over one recorded step.
     *
     * @param step the step
     * @return the board; this board itself if the step was no news
     */
    public MoveRegistry plus(MoveProgress step) {
        MoveProgress known = progress.get(step.move());
        return known != null && !step.isNewerThan(known)
                ? this
                : new MoveRegistry(progress.plus(step.move(), step), suspensions);
    }

    /**
     * Takes over one suspension.
     *
     * @param suspension the suspension
     * @return the board; this board itself if the suspension was no news
     */
    public MoveRegistry plus(Suspension suspension) {
        return suspensions.containsKey(suspension.move())
                ? this
                : new MoveRegistry(progress, suspensions.plus(suspension.move(), suspension));
    }

    /**
     * Returns how a move stands.
     *
     * @param move the move
     * @return its last known step
     */
    public MoveProgress progress(MoveIdentifier move) {
        MoveProgress known = progress.get(move);
        return known == null ? MoveProgress.start(move) : known;
    }

    /**
     * Returns the suspension of a move.
     *
     * @param move the move
     * @return its suspension, when there is one
     */
    public Optional<Suspension> suspension(MoveIdentifier move) {
        return Optional.ofNullable(suspensions.get(move));
    }

    /**
     * Returns all known steps.
     *
     * @return the last step of each move
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
     * Tells what share of a model's or service's traffic a version may have.
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
     * Tells whether a version showed faults in the move that is in force.
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
