package org.sassafrastrail.runtime;

/**
 * The address of a server.
 *
 * @param host the host name or IP address
 * @param port the port
 */
public record HostAndPort(String host, int port) {

    /**
     * Parses an address of the form {@code host:port}. The last colon ends the host, so that IPv6 addresses need no
     * brackets.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected host:port but got: " + text);
        }
        return new HostAndPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
