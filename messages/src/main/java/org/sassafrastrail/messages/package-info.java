/**
 * The typed messages between routers and sidecars. Nothing here knows how a message is encoded or carried, so another
 * codec or an in-memory test can carry the same messages.
 */
package org.sassafrastrail.messages;
