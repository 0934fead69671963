package org.sassafrastrail.gate;

/**
 * A part of a prompt that other prompts may share, so that an engine may have it cached.
 *
 * @param identifier identifies its content
 * @param tokens its length in tokens
 */
public record PromptPart(String identifier, int tokens) {}
