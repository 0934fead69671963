/**
 * The narrow interfaces of the platform (table, object store, VM list) and the few protocols that are built on them:
 * accepted configurations, idempotency keys, the controller's lease and the records of moves.
 */
package org.sassafrastrail.durable;
