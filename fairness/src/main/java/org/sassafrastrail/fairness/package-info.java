/**
 * Fair sharing between client accounts: the ledger of received service, which is replicated between sidecars, the
 * policies that select the next account, and the estimators of the cost of a request.
 */
package org.sassafrastrail.fairness;
