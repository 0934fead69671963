/** Learns from responses how fast upstreams are, relative to the other upstreams of their target. */
package org.sassafrastrail.gate.capacity;
