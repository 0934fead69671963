package org.sassafrastrail.router;

import java.util.Optional;

import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.model.TargetName;

/**
 * The path of a caller's request: {@code /models/NAME/ROUTE} or {@code /services/NAME/ROUTE}.
 *
 * @param target the requested model or service
 * @param route the path below the model or service, which is sent to the upstream
 */
record CallerPath(TargetName target, String route) {

    private static final int PARTS = 4;

    static Optional<CallerPath> parse(String path) {
        String[] parts = path.split("/", PARTS);
        boolean valid = parts.length == PARTS
                && (parts[1].equals("models") || parts[1].equals("services"))
                && Identifiers.isName(parts[2])
                && Identifiers.isName(parts[PARTS - 1].replace('/', ':'));
        return valid ? Optional.of(new CallerPath(new TargetName(parts[2]), parts[PARTS - 1])) : Optional.empty();
    }

    String upstreamPath(String query) {
        return "/" + route + (query.isEmpty() ? "" : "?" + query);
    }
}
