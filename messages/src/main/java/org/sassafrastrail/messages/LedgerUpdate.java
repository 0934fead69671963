package org.sassafrastrail.messages;

import java.util.List;

import org.sassafrastrail.fairness.LedgerEntry;

/**
 * Distributes entries of the service ledger that are new to the receiver.
 *
 * @param entries the new or changed entries
 */
public record LedgerUpdate(List<LedgerEntry> entries) implements Message {}
