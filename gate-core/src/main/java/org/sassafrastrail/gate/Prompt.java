package org.sassafrastrail.gate;

import java.util.Optional;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What a request asks an engine to read and write.
 *
 * @param parts the parts that are shared with other requests, in order
 * @param inputTokens the tokens of the whole prompt
 * @param outputTokens the most tokens that may be written
 */
public record Prompt(PVector<PromptPart> parts, long inputTokens, long outputTokens) {

    /** The prompt of a request without one. */
    public static final Prompt NONE = new Prompt(TreePVector.empty(), 0, 0);

    private static final int WEIGHT_OF_OUTPUT = 2;

    /** The last shared part, which belongs to the request's session or subject. */
    Optional<PromptPart> session() {
        return parts.isEmpty() ? Optional.empty() : Optional.of(parts.get(parts.size() - 1));
    }

    long sharedTokens() {
        return parts.stream().mapToLong(PromptPart::tokens).sum();
    }

    /**
     * What the request takes of the shared capacity.
     *
     * @return its cost in tokens read; a written token counts twice
     */
    public long cost() {
        return inputTokens + WEIGHT_OF_OUTPUT * outputTokens;
    }
}
