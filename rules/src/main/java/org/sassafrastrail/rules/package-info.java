/**
 * The operators' rule file: one rule a line, each with a comment on who asked for it. Readers turn text into checked,
 * immutable rules, or list every error at once.
 */
package org.sassafrastrail.rules;
