package org.sassafrastrail.messages;

import org.sassafrastrail.rules.RuleDocument;

/**
 * Sends the rule file in force at the sender.
 *
 * @param document the rule file
 */
public record RulesAnnouncement(RuleDocument document) implements Message {}
