package org.sassafrastrail.rules;

import org.sassafrastrail.model.AccountName;

/**
 * Declares a client account.
 *
 * @param name the account
 * @param weight its weight in fair sharing, from 1 to {@value #MAXIMUM_WEIGHT}
 * @param queueLimit the maximum number of its queued requests at one router
 * @param key the digest of its key
 * @param comment who requested the rule
 */
public record AccountRule(AccountName name, int weight, int queueLimit, KeyDigest key, String comment) implements Rule {

    /** The largest weight. */
    public static final int MAXIMUM_WEIGHT = 1000;

    /** The largest queue limit, in requests. */
    public static final int MAXIMUM_QUEUE = 100_000;

    @Override
    public String subject() {
        return "account " + name;
    }

    @Override
    public String text() {
        return subject() + " weight " + weight + " queue " + queueLimit + " key " + key.text();
    }
}
