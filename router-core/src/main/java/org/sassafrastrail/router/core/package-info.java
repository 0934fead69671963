/**
 * Decisions of a router: it queues requests for each client account, tells sidecars what waits, answers their grants,
 * and decides what follows from every attempt's outcome.
 */
package org.sassafrastrail.router.core;
