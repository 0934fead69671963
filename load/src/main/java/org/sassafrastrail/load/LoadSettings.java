package org.sassafrastrail.load;

import java.util.List;

/**
 * A load.
 *
 * @param routers the routers, each as address and port with a colon between; an engine's own address measures a direct
 *     call
 * @param patienceMilliseconds how long a caller waits for a whole answer
 * @param callers the callers, by account and path
 */
public record LoadSettings(List<String> routers, long patienceMilliseconds, List<CallerSettings> callers) {

    /**
     * The callers of one client account for one path.
     *
     * @param account the account's name, for the report
     * @param key the account's key
     * @param method the HTTP method
     * @param path the path
     * @param requests how many requests they send in all
     * @param concurrency how many callers send at once
     * @param tokens how many tokens each request asks for, 0 for a call to a service
     * @param hint the cost hint that they give, 0 for none
     * @param idempotencyKeys whether each request carries a key of its own
     */
    public record CallerSettings(
            String account,
            String key,
            String method,
            String path,
            int requests,
            int concurrency,
            int tokens,
            long hint,
            boolean idempotencyKeys) {}
}
