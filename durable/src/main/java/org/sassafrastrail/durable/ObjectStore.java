package org.sassafrastrail.durable;

/** The platform's object store. */
public interface ObjectStore {

    /**
     * Stores an object.
     *
     * @param name its name
     * @param content its content
     * @return whether the store confirmed it
     */
    boolean put(String name, byte[] content);

    /**
     * Fetches an object.
     *
     * @param name its name
     * @return the object, or why there is none
     */
    ObjectReadResult get(String name);
}
