/**
 * Decisions of the duties that one gateway at a time has: the lease with its fencing token, the windows over which usage is
 * counted, and the order of the reports.
 */
package org.sassafrastrail.duty;
