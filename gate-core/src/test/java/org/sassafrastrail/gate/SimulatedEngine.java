package org.sassafrastrail.gate;

import java.util.LinkedHashMap;
import java.util.Map;

/** Simulates an engine that prefills prompts sequentially, caches the most recently used parts, and may crash. */
final class SimulatedEngine {

    private static final double PREFILL_TOKENS_PER_MILLISECOND = 87;
    private static final double FIRST_TOKEN_MILLISECONDS = 31;
    private static final long CACHE_TOKENS = 360_000;

    private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75F, true);
    private final Map<Run, Boolean> running = new LinkedHashMap<>();
    private long cachedTokens;
    private double busyUntil;
    private boolean crashed;

    /** An attempt of a gateway for a request. */
    record Run(int gateway, long call, int attempt) {}

    void begin(Run run) {
        running.put(run, false);
    }

    void responseStarted(Run run) {
        running.put(run, true);
    }

    boolean isRunning(Run run) {
        return running.containsKey(run);
    }

    /** Ends a run and returns whether it was running. */
    boolean end(Run run) {
        return running.remove(run) != null;
    }

    boolean isCrashed() {
        return crashed;
    }

    /** Crashes the engine and returns its runs, each with whether its response had started. */
    Map<Run, Boolean> crash() {
        crashed = true;
        Map<Run, Boolean> ended = new LinkedHashMap<>(running);
        running.clear();
        return ended;
    }

    /**
     * Prefills a prompt.
     *
     * @param at the arrival time in milliseconds
     * @param prompt the prompt
     * @param own an identifier of the part that no other prompt shares
     * @return when the response starts, in milliseconds
     */
    double prefill(double at, Prompt prompt, String own) {
        int cachedPrefix = 0;
        boolean hit = true;
        for (PromptPart part : prompt.parts()) {
            hit = hit && cached.containsKey(part.identifier());
            cachedPrefix += hit ? part.tokens() : 0;
        }
        long prefillTokens = prompt.inputTokens() - cachedPrefix;
        prompt.parts().forEach(part -> cache(part.identifier(), part.tokens()));
        cache(own, (int) (prompt.inputTokens() - prompt.sharedTokens()));
        busyUntil = Math.max(at, busyUntil) + prefillTokens / PREFILL_TOKENS_PER_MILLISECOND;
        return busyUntil + FIRST_TOKEN_MILLISECONDS;
    }

    private void cache(String part, int tokens) {
        Integer before = cached.put(part, tokens);
        cachedTokens += tokens - (before == null ? 0 : before);
        while (cachedTokens > CACHE_TOKENS) {
            Map.Entry<String, Integer> oldest = cached.entrySet().iterator().next();
            cachedTokens -= oldest.getValue();
            cached.remove(oldest.getKey());
        }
    }
}
