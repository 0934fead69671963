/**
 * Decision logic of a router: queues requests for each client account, reports the queued demand to sidecars, uses or
 * returns their grants, and decides whether a request is retried, answered or refused after each attempt.
 */
package org.sassafrastrail.router.core;
