/**
 * The interfaces to the platform's storage (table, object store, VM list, change feed) and what is built on them: the
 * store of rule files, claims of idempotency keys, the controller's lease, the progress of version moves and local copies
 * of tables.
 */
package org.sassafrastrail.durable;
