package org.sassafrastrail.rules;

/**
 * One word of a line of the rule file.
 *
 * @param text the word
 * @param column the column where it starts, counted from 1
 */
record RuleWord(String text, int column) {}
