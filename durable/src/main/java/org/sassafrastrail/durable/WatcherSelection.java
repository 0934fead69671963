package org.sassafrastrail.durable;

/** Tells whether this process is one of those that read the tables of the store for the others. */
public interface WatcherSelection {

    /**
     * Returns whether this process has to read the tables.
     *
     * @return false if others read them for it
     */
    boolean isWatcher();
}
