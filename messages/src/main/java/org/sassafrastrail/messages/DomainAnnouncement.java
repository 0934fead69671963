package org.sassafrastrail.messages;

import org.sassafrastrail.model.FailureDomainName;

/**
 * Tells a gateway's peers in which failure domain it is, once for each link that is opened.
 *
 * @param domain the failure domain
 */
public record DomainAnnouncement(FailureDomainName domain) implements Message {}
