/** Golden sessions: scenarios whose whole transcript is compared with a committed file. */
package org.sassafrastrail.acceptance.sessions;
