package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.UpstreamProfile;

/**
 * Identity of a sidecar process.
 *
 * @param node the node name from the settings
 * @param incarnation the incarnation, set at process start
 * @param profile the target, version and failure domain of its upstream
 */
public record SidecarIdentity(NodeName node, Incarnation incarnation, UpstreamProfile profile) {

    LedgerWriter ledgerWriter() {
        return new LedgerWriter(node, incarnation);
    }

    LedgerKey ledgerKey(AccountName account) {
        return new LedgerKey(profile.target(), account);
    }
}
