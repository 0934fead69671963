/**
 * What every daemon is made of: services that start and stop, the control thread that drives a decision core, checked
 * settings, logs and metrics.
 */
package org.sassafrastrail.runtime;
