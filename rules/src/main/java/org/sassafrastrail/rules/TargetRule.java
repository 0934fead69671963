package org.sassafrastrail.rules;

import java.util.Locale;

import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

/**
 * Declares a model or service that upstreams serve.
 *
 * @param name the model or service
 * @param kind whether it is a model or a service
 * @param version the version in force; other versions receive traffic only through a move
 * @param coldLimit the maximum number of concurrent requests of an upstream during a cold start
 * @param warmLimit the maximum number of concurrent requests of a warm upstream
 * @param idempotent whether a call may be retried when its outcome is unknown
 * @param fencing whether its upstreams reject an order with an outdated fencing token
 * @param comment who requested the rule
 */
public record TargetRule(
        TargetName name,
        TargetKind kind,
        VersionName version,
        int coldLimit,
        int warmLimit,
        boolean idempotent,
        Fencing fencing,
        String comment)
        implements Rule {

    /** The largest limit, in concurrent requests. */
    public static final int MAXIMUM_LIMIT = 10_000;

    /** Whether upstreams check the fencing token of an order. */
    public enum Fencing {
        /** The upstream rejects an order with an outdated fencing token. */
        HONOURED,
        /** The upstream accepts any order, so its sidecar has to check the token. */
        IGNORED
    }

    @Override
    public String subject() {
        return "target " + name;
    }

    @Override
    public String text() {
        return kind.name().toLowerCase(Locale.ROOT)
                + " " + name
                + " version " + version
                + " cold " + coldLimit
                + " warm " + warmLimit
                + " repeat " + (idempotent ? "yes" : "no")
                + " fencing " + fencing.name().toLowerCase(Locale.ROOT);
    }
}
