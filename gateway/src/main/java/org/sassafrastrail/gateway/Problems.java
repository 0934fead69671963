package org.sassafrastrail.gateway;

import java.util.Locale;

import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RefusalReason;

/** The gateway's own answers. */
final class Problems {

    private Problems() {}

    static Problem refused(int status, RefusalReason reason, String request) {
        String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new Problem(status, "not-run:" + name, "The request was refused and did not run.", request);
    }
}
