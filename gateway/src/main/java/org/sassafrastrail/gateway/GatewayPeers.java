package org.sassafrastrail.gateway;

import java.util.Collection;

import org.sassafrastrail.durable.WatchedTable;

/** The other gateways, as far as they help with what the store holds. */
public interface GatewayPeers {

    /**
     * Returns where other gateways reach this one.
     *
     * @return host and port
     */
    String linkAddress();

    /**
     * Shares a copy of a table: gives it to peers that ask, and offers it what they have.
     *
     * @param table the table
     * @param copy the copy
     */
    void shareTable(String table, WatchedTable copy);

    /**
     * Asks all peers for their copies of a table.
     *
     * @param table the table
     * @param version the version that is known; only newer copies come
     */
    void requestTable(String table, long version);

    /**
     * Links to the other gateways.
     *
     * @param gateways the address of each registered gateway
     */
    void connectTo(Collection<String> gateways);
}
