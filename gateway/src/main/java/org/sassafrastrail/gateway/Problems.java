package org.sassafrastrail.gateway;

import java.util.Locale;
import java.util.regex.Pattern;

import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RefusalReason;

/** The gateway's own answers. */
final class Problems {

    /** Identifiers that can be quoted as they are; a caller may send anything. */
    private static final Pattern HARMLESS = Pattern.compile("[A-Za-z0-9._:~-]{1,128}");

    private Problems() {}

    static Problem refused(int status, RefusalReason reason, String request) {
        String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        String harmless = HARMLESS.matcher(request).matches() ? request : "";
        return new Problem(status, "not-run:" + name, "The request was refused and did not run.", harmless);
    }
}
