/**
 * Stand-ins (simulators) for the outside systems: the platform, a model engine, a plain service and an upstream. Faults
 * can be injected into the first three over HTTP.
 */
package org.sassafrastrail.standins;
