/** TCP links between the processes of the fleet: length-prefixed frames whose content is a message in MessagePack. */
package org.sassafrastrail.wire;
