package org.sassafrastrail.gate.rotation;

import java.time.Duration;

/**
 * The load of a gateway process at one moment.
 *
 * @param lag how long work waits for the process's threads
 * @param connections the number of callers' open connections
 */
public record ProcessLoad(Duration lag, int connections) {

    static final ProcessLoad NONE = new ProcessLoad(Duration.ZERO, 0);
}
