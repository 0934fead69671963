package org.sassafrastrail.platform.http;

import java.time.Duration;

/**
 * Where the platform is.
 *
 * @param host its address
 * @param port its port
 * @param patience how long an answer may take
 */
public record PlatformAddress(String host, int port, Duration patience) {}
