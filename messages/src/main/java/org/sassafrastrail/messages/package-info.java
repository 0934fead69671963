/**
 * The typed messages between the processes of the fleet. The package is independent of encoding and transport, so that
 * another codec or an in-memory test can carry the same messages.
 */
package org.sassafrastrail.messages;
