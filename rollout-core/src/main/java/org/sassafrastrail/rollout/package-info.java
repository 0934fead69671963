/**
 * Decisions of version moves: what share of the traffic a version may have, what the evidence says of it, and the
 * controller that records each step in the platform's table.
 */
package org.sassafrastrail.rollout;
