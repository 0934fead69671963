package org.sassafrastrail.messages;

import java.util.List;

/**
 * Distributes evidence on versions that is new to the receiver.
 *
 * @param entries the new or changed entries
 */
public record EvidenceUpdate(List<EvidenceEntry> entries) implements Message {}
