package org.sassafrastrail.durable;

/** Tells other processes what was read of a table. */
public interface TablePublisher {

    /**
     * Tells the others what was read, also if nothing has changed, because they rely on how recent it is.
     *
     * @param changes what was read
     */
    void publish(TableChanges changes);
}
