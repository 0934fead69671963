package org.sassafrastrail.fairness;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * The only incarnation of a sidecar that may change an entry of a ledger.
 *
 * @param node the sidecar
 * @param incarnation its incarnation
 */
public record LedgerWriter(NodeName node, Incarnation incarnation) {}
