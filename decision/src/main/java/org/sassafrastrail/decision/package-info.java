/**
 * The common structure of decision cores. A core is a pure function from immutable state, an event and the time to the
 * next state and the actions to carry out. Cores have no access to sockets, threads, clocks, logs or encodings.
 */
package org.sassafrastrail.decision;
