package org.sassafrastrail.acceptance.sessions;

import java.io.File;

import org.approvaltests.namer.ApprovalNamer;

/** Names transcript files after the name that a scenario gives. */
final class SessionNamer implements ApprovalNamer {

    private static final String FOLDER = "src/test/resources/sessions/";

    private final String name;

    SessionNamer(String name) {
        this.name = name;
    }

    @Override
    public String getApprovalName() {
        return name;
    }

    @Override
    public String getSourceFilePath() {
        return FOLDER;
    }

    @Override
    public File getApprovedFile(String extension) {
        return new File(FOLDER + name + ".approved" + extension);
    }

    @Override
    public File getReceivedFile(String extension) {
        return new File(FOLDER + name + ".received" + extension);
    }

    @Override
    public ApprovalNamer addAdditionalInformation(String information) {
        return this;
    }

    @Override
    public String getAdditionalInformation() {
        return "";
    }
}
