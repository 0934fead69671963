package org.sassafrastrail.load;

import java.util.List;

/**
 * Settings of a load run.
 *
 * @param routers the routers, each as {@code host:port}; the address of an engine measures direct calls
 * @param patienceMilliseconds the maximum time that a caller waits for a complete response
 * @param callers the groups of callers, one per client account and path
 */
public record LoadSettings(List<String> routers, long patienceMilliseconds, List<CallerSettings> callers) {

    /**
     * The callers of one client account for one path.
     *
     * @param account the name of the account in the report
     * @param key the API key of the account
     * @param method the HTTP method
     * @param path the request path
     * @param requests the total number of requests
     * @param concurrency the number of concurrent callers
     * @param tokens the number of tokens that each request asks for, 0 for a call to a service
     * @param hint the cost hint of each request, 0 for none
     * @param idempotencyKeys whether each request carries its own idempotency key
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
