package org.sassafrastrail.gate;

import java.util.Optional;
import java.util.Random;

import org.pcollections.TreePVector;

/** Draws the prompts of simulated requests, of three kinds with shared parts. */
final class SimulatedPrompts {

    /**
     * A prompt part under which each engine crashes that starts a response to it.
     *
     * @param from when requests with it begin to come, in seconds
     * @param until when they stop
     * @param share the share of the requests that have it
     * @param companions the number of sessions whose part stands beside it in turn
     */
    record DeadlyPart(double from, double until, double share, int companions) {

        static final String IDENTIFIER = "deadly";

        boolean isUsed(double second) {
            return second >= from && second < until;
        }
    }

    private final Random random;
    private Optional<DeadlyPart> deadlyPart = Optional.empty();

    SimulatedPrompts(Random random) {
        this.random = random;
    }

    /** Lets a share of the requests have a part under which engines crash. */
    void addDeadlyPart(DeadlyPart part) {
        deadlyPart = Optional.of(part);
    }

    /** Creates a prompt with one of a few shared system parts, a session's part and the request's own part. */
    Prompt prompt(SimulatedFleet.Account account, double second) {
        Optional<DeadlyPart> deadly = deadlyPart.filter(part -> part.isUsed(second));
        if (deadly.isPresent() && random.nextDouble() < deadly.get().share()) {
            return deadlyPrompt(deadly.get());
        }
        double kind = random.nextDouble();
        if (kind < 0.385) {
            return prompt("report", 4, 2520, 3780, session(account, 650), ownTokens(2890, 39_600), 56);
        }
        return kind < 0.835
                ? prompt("rule", 40, 341, 227, session(account, 1150), ownTokens(1800, 6870), 24)
                : prompt("cab", 40, 103, 69, session(account, 410), ownTokens(543, 2310), 280);
    }

    /** Creates a prompt with the deadly part between parts that sound prompts have too. */
    private Prompt deadlyPrompt(DeadlyPart deadly) {
        int companion = random.nextInt(deadly.companions());
        return new Prompt(
                TreePVector.singleton(new PromptPart("report-system-" + companion % 4, 2520))
                        .plus(new PromptPart(DeadlyPart.IDENTIFIER, 1000))
                        .plus(new PromptPart("report-companion-" + companion, 3780)),
                7300 + ownTokens(2890, 39_600),
                56);
    }

    static boolean isDeadly(Prompt prompt) {
        return prompt.parts().stream().anyMatch(part -> part.identifier().equals(DeadlyPart.IDENTIFIER));
    }

    /** Picks one of the account's sessions. The sessions of a day are divided among the accounts by their rates. */
    private String session(SimulatedFleet.Account account, int sessions) {
        int accountSessions = (int) Math.max(3, sessions * account.perSecond() / 830);
        return account.name() + "-" + random.nextInt(accountSessions);
    }

    private int ownTokens(double mean, int maximum) {
        return (int) Math.min(maximum, Math.max(50, mean * Math.exp(random.nextGaussian() * 0.83 - 0.35)));
    }

    private Prompt prompt(
            String kind,
            int systems,
            int systemTokens,
            int sessionTokens,
            String session,
            int ownTokens,
            int outputTokens) {
        PromptPart system = new PromptPart(kind + "-system-" + random.nextInt(systems), systemTokens);
        PromptPart part = new PromptPart(kind + "-" + session, sessionTokens);
        return new Prompt(
                TreePVector.singleton(system).plus(part), systemTokens + sessionTokens + ownTokens, outputTokens);
    }
}
