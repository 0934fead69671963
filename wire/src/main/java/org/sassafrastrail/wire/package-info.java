/**
 * TCP links between the system's processes: length-prefixed frames that carry the messages in MessagePack.
 */
package org.sassafrastrail.wire;
