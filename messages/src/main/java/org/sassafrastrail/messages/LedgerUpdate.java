package org.sassafrastrail.messages;

import java.util.List;

import org.sassafrastrail.fairness.LedgerEntry;

/**
 * Entries of the service ledger that are news to the receiver.
 *
 * @param entries the entries
 */
public record LedgerUpdate(List<LedgerEntry> entries) implements Message {}
