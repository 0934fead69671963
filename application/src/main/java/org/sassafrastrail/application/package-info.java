/** The executable program. Its first argument selects a daemon, the stand-ins, the load generator or an operators' command. */
package org.sassafrastrail.application;
