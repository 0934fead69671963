/**
 * The decisions of a gateway, which hosts the gates of its upstreams: which route a request takes, when it is admitted,
 * where it is placed, whether it is tried again, and what is believed of each upstream. Pure: no sockets, clocks or
 * encodings.
 */
package org.sassafrastrail.gate;
