package org.sassafrastrail.messages;

import java.util.List;

/**
 * Evidence on versions that is news to the receiver.
 *
 * @param entries the evidence
 */
public record EvidenceUpdate(List<EvidenceEntry> entries) implements Message {}
