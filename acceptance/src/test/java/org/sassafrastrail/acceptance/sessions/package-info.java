/** Golden sessions: scenarios whose complete transcript is compared with a committed file. */
package org.sassafrastrail.acceptance.sessions;
