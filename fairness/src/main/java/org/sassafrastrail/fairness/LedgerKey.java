package org.sassafrastrail.fairness;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.TargetName;

/**
 * The key by which the ledger accounts service: one client account at one target.
 *
 * @param target the model or service
 * @param account the client account
 */
public record LedgerKey(TargetName target, AccountName account) {}
