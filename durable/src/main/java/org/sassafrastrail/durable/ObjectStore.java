package org.sassafrastrail.durable;

/** The platform's object store: named objects, each written and read as a whole. */
public interface ObjectStore {

    /**
     * Stores an object.
     *
     * @param name its name
     * @param content its content
     * @return whether the store confirmed the write; if not, the object may be stored all the same
     */
    boolean put(String name, byte[] content);

    /**
     * Reads an object.
     *
     * @param name its name
     * @return the object, or why it could not be read
     */
    ObjectReadResult get(String name);
}
