package org.sassafrastrail.acceptance.fleet;

import java.util.Map;
import java.util.stream.Collectors;

import org.sassafrastrail.rules.KeyDigest;

/** Builds the text of rule files for tests. */
public final class RuleTexts {

    private RuleTexts() {}

    /**
     * Rules for a model with the given concurrency limits whose calls are idempotent, accounts with the given weights,
     * and three failure domains in service.
     */
    public static String idempotentModel(int coldLimit, int warmLimit, Map<String, Integer> weights) {
        return target("yes", coldLimit, warmLimit) + domains() + accounts(weights);
    }

    /** Like {@link #idempotentModel}, but calls are not idempotent. */
    public static String nonIdempotentModel(int coldLimit, int warmLimit, Map<String, Integer> weights) {
        return target("no", coldLimit, warmLimit) + domains() + accounts(weights);
    }

    private static String target(String repeat, int coldLimit, int warmLimit) {
        return "model " + VirtualFleet.TARGET + " version v1 cold " + coldLimit + " warm " + warmLimit + " repeat "
                + repeat + " # test\n";
    }

    private static String domains() {
        return "domain north in # test\ndomain south in # test\ndomain west in # test\n";
    }

    private static String accounts(Map<String, Integer> weights) {
        return weights.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> "account " + entry.getKey() + " weight " + entry.getValue() + " queue 1000 key "
                        + KeyDigest.of(entry.getKey()).text() + " # test\n")
                .collect(Collectors.joining());
    }
}
