/** Decides whether a gateway is in the rotation of the load balancer in front of the gateways. */
package org.sassafrastrail.gate.rotation;
