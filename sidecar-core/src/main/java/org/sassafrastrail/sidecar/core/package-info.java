/**
 * Decision core of the sidecar. The sidecar alone decides when its upstream runs another request and for which client
 * account. It keeps a history of started attempts, so that a request that is not idempotent runs at most once.
 */
package org.sassafrastrail.sidecar.core;
