/**
 * Decisions of version moves: the share of the traffic of each version, the detection of regressions, and the
 * controller that records each step of a move in the platform's table.
 */
package org.sassafrastrail.rollout;
