/** The operators' command line, with commands for rules, failure domains, version moves, status and request traces. */
package org.sassafrastrail.operator;
