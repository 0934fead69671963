package org.sassafrastrail.gate;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param identifier names its content
 * @param tokens its length in tokens
 */
public record PromptPart(String identifier, int tokens) {}
