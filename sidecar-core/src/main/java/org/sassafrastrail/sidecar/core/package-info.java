/**
 * Decisions of a sidecar: it alone decides when its upstream takes one more request and for which client account, and it
 * remembers what it began, so that a request that may not be repeated runs at most once.
 */
package org.sassafrastrail.sidecar.core;
