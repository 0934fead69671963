/** Runs the real programs as processes on loopback, for failures that cannot be simulated in memory. */
package org.sassafrastrail.acceptance.process;
