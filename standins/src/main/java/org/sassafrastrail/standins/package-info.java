/**
 * Small stand-ins for the outside world: the platform, a model engine and a plain service. Each can be told over HTTP to
 * misbehave.
 */
package org.sassafrastrail.standins;
