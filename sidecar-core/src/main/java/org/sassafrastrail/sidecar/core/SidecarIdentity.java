package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.UpstreamProfile;

/**
 * Who this sidecar is, from its settings and its start.
 *
 * @param node its name
 * @param incarnation its life
 * @param profile what its upstream serves
 */
public record SidecarIdentity(NodeName node, Incarnation incarnation, UpstreamProfile profile) {

    LedgerWriter ledgerWriter() {
        return new LedgerWriter(node, incarnation);
    }

    LedgerKey ledgerKey(AccountName account) {
        return new LedgerKey(profile.target(), account);
    }
}
