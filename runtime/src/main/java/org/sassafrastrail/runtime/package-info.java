/**
 * Common building blocks of all daemons: services with a start and stop, the control thread that drives a decision
 * core, validated settings, logging and metrics.
 */
package org.sassafrastrail.runtime;
