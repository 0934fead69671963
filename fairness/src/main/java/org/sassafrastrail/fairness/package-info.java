/**
 * Fair sharing between client accounts: the ledger of service that every sidecar keeps and shares, the policies that
 * pick an account, and the estimates of what a request will cost.
 */
package org.sassafrastrail.fairness;
