/** The operators' command line: rules, failure domains, version moves, status and explanations. */
package org.sassafrastrail.operator;
