package org.sassafrastrail.rules;

/**
 * One word of a line.
 *
 * @param text the word
 * @param column where it starts, counted from 1
 */
record RuleWord(String text, int column) {}
