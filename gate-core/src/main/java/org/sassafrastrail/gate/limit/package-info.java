/**
 * The limits that upstreams name on the requests a second that they take from all gateways together, and the permits by which
 * the gateways keep to them. For each limited upstream one gateway issues the permits; the others ask it for them.
 */
package org.sassafrastrail.gate.limit;
