package org.sassafrastrail.runtime;

/**
 * Where a server listens.
 *
 * @param host its name or address
 * @param port its port
 */
public record HostAndPort(String host, int port) {

    /**
     * Reads a place as settings and entries write it.
     *
     * @param text the host, a colon and the port
     * @return the place
     * @throws IllegalArgumentException if it is not written so
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no host and port: " + text);
        }
        return new HostAndPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
