package org.sassafrastrail.fairness;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * The one process life that may change an entry of the ledger.
 *
 * @param node the sidecar
 * @param incarnation its life
 */
public record LedgerWriter(NodeName node, Incarnation incarnation) {}
