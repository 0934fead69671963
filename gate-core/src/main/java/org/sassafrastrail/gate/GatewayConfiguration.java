package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.PVector;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.TargetName;

/**
 * The configuration in force.
 *
 * @param version its number; newer ones have larger numbers
 * @param routes the routes, by host in lower case
 * @param targets the services and models, by name
 * @param accountsByKey the client account of each key
 * @param keysRequired whether requests need a key, unless their route is anonymous
 * @param maxBodyBytes the largest size of a request's body
 * @param tokensPerSecond the capacity that client accounts share, as operators state it; infinite if they do not
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
     * Finds the route of a request: of all whose prefix begins the path, the longest.
     *
     * @param host the host in lower case, without a port
     * @param path the path without its query
     * @return the route, or empty if there is none
     */
    public Optional<Route> route(String host, String path) {
        return Optional.ofNullable(routes.get(host)).flatMap(candidates -> candidates.stream()
                .filter(route -> path.startsWith(route.prefix()))
                .max(Comparator.comparingInt(route -> route.prefix().length())));
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key
     * @return the client account, or empty if no account holds the key
     */
    public Optional<AccountName> accountForKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
