package org.sassafrastrail.runtime;

/**
 * The address of a server.
 *
 * @param host the host name or IP address
 * @param port the port
 */
public record HostAndPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Parses an address of the form {@code host:port}. The last colon ends the host, so that IPv6 addresses need no
     * brackets.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form, or the port is out of range
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected host:port but got: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
        return new HostAndPort(text.substring(0, colon), port);
    }
}
