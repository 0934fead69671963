/** The one program: every daemon, the stand-ins and the operators' commands, chosen by the first word. */
package org.sassafrastrail.application;
