package org.sassafrastrail.gateway;

import java.util.Collection;

import org.sassafrastrail.durable.SharedTable;
import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.WatchedTable;

/** The links to the other gateways, over which they exchange copies of the tables in the store. */
public interface GatewayPeers {

    /**
     * Returns the address at which other gateways reach this one.
     *
     * @return host and port
     */
    String linkAddress();

    /**
     * Shares a copy of a table: sends it to peers that request it, and updates it from the copies of peers.
     *
     * @param table the name of the table
     * @param watchedTable the local copy
     */
    void shareTable(String table, WatchedTable watchedTable);

    /**
     * Lets a table follow what the peers publish of it.
     *
     * @param table the name of the table
     * @param sharedTable the table
     */
    void followTable(String table, SharedTable sharedTable);

    /**
     * Returns whether this gateway reads the tables of the store for the others of its failure domain.
     *
     * @return whether it does
     */
    boolean isWatcher();

    /**
     * Tells the other gateways of the failure domain what was read of a table.
     *
     * @param table the name of the table
     * @param changes what was read
     */
    void publish(String table, TableChanges changes);

    /**
     * Requests the copies of a table from all peers.
     *
     * @param table the name of the table
     * @param version the version of the local copy; peers send only newer copies
     */
    void requestTable(String table, StoreVersion version);

    /**
     * Connects to the other gateways.
     *
     * @param gateways the link addresses of all registered gateways
     */
    void connectTo(Collection<String> gateways);
}
