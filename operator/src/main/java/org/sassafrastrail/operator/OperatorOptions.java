package org.sassafrastrail.operator;

/**
 * The options of the operators' commands.
 *
 * @param reason who asked for the change, for the rule's comment; empty if not given
 * @param dryRun whether nothing shall be changed
 * @param json whether answers shall be JSON
 */
record OperatorOptions(String reason, boolean dryRun, boolean json) {}
