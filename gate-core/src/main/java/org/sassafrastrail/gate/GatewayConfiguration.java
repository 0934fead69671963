package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.PVector;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.TargetName;

/**
 * The configuration of the gateways: routes, targets, API keys and limits.
 *
 * @param version the version; newer configurations have larger ones
 * @param routes the routes, by host in lower case
 * @param targets the services and models, by name
 * @param accountsByKey the client account of each API key
 * @param keysRequired whether requests need an API key, unless their route is anonymous
 * @param maxBodyBytes the maximum size of a request body
 * @param tokensPerSecond the configured capacity that client accounts share, infinite if none is configured
 */
public record GatewayConfiguration(
        long version,
        PMap<String, PVector<Route>> routes,
        PMap<TargetName, TargetConfiguration> targets,
        PMap<String, AccountName> accountsByKey,
        boolean keysRequired,
        long maxBodyBytes,
        double tokensPerSecond) {

    /**
     * Returns the route of a request: the one with the longest matching path prefix.
     *
     * @param host the host in lower case, without a port
     * @param path the path without its query
     * @return the route, or empty if no route matches
     */
    public Optional<Route> route(String host, String path) {
        return Optional.ofNullable(routes.get(host)).flatMap(candidates -> candidates.stream()
                .filter(route -> path.startsWith(route.prefix()))
                .max(Comparator.comparingInt(route -> route.prefix().length())));
    }

    /**
     * Returns the client account of an API key.
     *
     * @param key the API key
     * @return the client account, or empty if the key is unknown
     */
    public Optional<AccountName> accountForKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
