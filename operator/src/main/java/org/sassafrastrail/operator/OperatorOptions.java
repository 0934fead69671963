package org.sassafrastrail.operator;

/**
 * The command-line options of the operators' commands.
 *
 * @param reason who asked for the change and why, for the rule's comment; empty if not given
 * @param dryRun whether to show the changes without applying them
 * @param json whether to print JSON
 */
record OperatorOptions(String reason, boolean dryRun, boolean json) {}
