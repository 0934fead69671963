/** Runs the real programs as processes on loopback, for failures that only a process can have. */
package org.sassafrastrail.acceptance.process;
