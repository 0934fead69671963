package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.rotation.RotationReport;
import org.sassafrastrail.messages.RotationUpdate;

/** Converts what gateways tell each other of the rotation between the form of the core and the message on the wire. */
final class RotationUpdateMapper {

    private RotationUpdateMapper() {}

    static RotationUpdate toMessage(RotationReport report) {
        return new RotationUpdate(report.domain(), report.inRotation(), report.overloadShare(), report.connections());
    }

    static RotationReport fromMessage(RotationUpdate message) {
        return new RotationReport(
                message.domain(), message.inRotation(), message.overloadShare(), message.connections());
    }
}
