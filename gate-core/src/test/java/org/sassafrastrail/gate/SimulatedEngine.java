package org.sassafrastrail.gate;

import java.util.LinkedHashMap;
import java.util.Map;

/** An engine that reads prompts one after the other and keeps the parts that were used last. */
final class SimulatedEngine {

    private static final double READ_TOKENS_PER_MILLISECOND = 87;
    private static final double FIRST_ANSWER_MILLISECONDS = 31;
    private static final long CACHE_TOKENS = 360_000;

    private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75F, true);
    private long cachedTokens;
    private double busyUntil;

    /**
     * Takes a prompt.
     *
     * @param at the time in milliseconds
     * @param prompt the prompt
     * @param own a name of the part that no other prompt shares
     * @return when the answer begins, in milliseconds
     */
    double take(double at, Prompt prompt, String own) {
        int shared = 0;
        boolean kept = true;
        for (PromptPart part : prompt.parts()) {
            kept = kept && cached.containsKey(part.identifier());
            shared += kept ? part.tokens() : 0;
        }
        long toRead = prompt.inputTokens() - shared;
        prompt.parts().forEach(part -> keep(part.identifier(), part.tokens()));
        keep(own, (int) (prompt.inputTokens() - prompt.sharedTokens()));
        busyUntil = Math.max(at, busyUntil) + toRead / READ_TOKENS_PER_MILLISECOND;
        return busyUntil + FIRST_ANSWER_MILLISECONDS;
    }

    private void keep(String part, int tokens) {
        Integer before = cached.put(part, tokens);
        cachedTokens += tokens - (before == null ? 0 : before);
        while (cachedTokens > CACHE_TOKENS) {
            Map.Entry<String, Integer> oldest = cached.entrySet().iterator().next();
            cachedTokens -= oldest.getValue();
            cached.remove(oldest.getKey());
        }
    }
}
