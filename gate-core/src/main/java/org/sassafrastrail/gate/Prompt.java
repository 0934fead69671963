package org.sassafrastrail.gate;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The prompt of a request and the size of its output.
 *
 * @param parts the parts that may be shared with other requests, in order
 * @param inputTokens the tokens of the complete prompt
 * @param outputTokens the maximum number of generated tokens
 */
public record Prompt(PVector<PromptPart> parts, long inputTokens, long outputTokens) {

    /** The prompt of requests to plain services, which have none. */
    public static final Prompt NONE = new Prompt(TreePVector.empty(), 0, 0);

    private static final int WEIGHT_OF_OUTPUT = 2;

    /** Returns the last shared part, which belongs to the request's session or subject. */
    Optional<PromptPart> session() {
        return parts.isEmpty() ? Optional.empty() : Optional.of(parts.get(parts.size() - 1));
    }

    /** Returns the identifiers of the shared parts. */
    Set<String> partIdentifiers() {
        return parts.stream().map(PromptPart::identifier).collect(Collectors.toUnmodifiableSet());
    }

    long sharedTokens() {
        return parts.stream().mapToLong(PromptPart::tokens).sum();
    }

    /**
     * Returns how much of the shared capacity the request uses.
     *
     * @return the cost in input tokens; an output token counts twice
     */
    public long cost() {
        return inputTokens + WEIGHT_OF_OUTPUT * outputTokens;
    }
}
