/**
 * The operators' rule file: one rule per line, each with a comment that states who requested it. Parsers turn the text
 * into validated, immutable rules, or report all errors at once.
 */
package org.sassafrastrail.rules;
