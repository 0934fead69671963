package org.sassafrastrail.acceptance.fleet;

import java.util.Map;
import java.util.stream.Collectors;

import org.sassafrastrail.rules.KeyDigest;

/** Rule files for tests. */
public final class RuleTexts {

    private RuleTexts() {}

    /** A model with given limits, accounts with given weights, and three failure domains in service. */
    public static String model(int cold, int warm, Map<String, Integer> weights) {
        return target("yes", cold, warm) + domains() + accounts(weights);
    }

    /** Like {@link #model}, but calls may not be repeated. */
    public static String unrepeatable(int cold, int warm, Map<String, Integer> weights) {
        return target("no", cold, warm) + domains() + accounts(weights);
    }

    private static String target(String repeat, int cold, int warm) {
        return "model " + VirtualFleet.TARGET + " version v1 cold " + cold + " warm " + warm + " repeat " + repeat
                + " # test\n";
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
