package org.sassafrastrail.fairness;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.TargetName;

/**
 * What service is counted for.
 *
 * @param target the model or service
 * @param account the client account
 */
public record LedgerKey(TargetName target, AccountName account) {}
