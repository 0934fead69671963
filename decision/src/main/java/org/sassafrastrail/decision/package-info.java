/**
 * The shape of every decision core: a function from immutable state, an event and the time to the next state and the
 * actions to carry out. Cores know no sockets, threads, clocks, logs or encodings.
 */
package org.sassafrastrail.decision;
