/** The router daemon: callers' HTTP on one side, links and dispatches to sidecars on the other. */
package org.sassafrastrail.router;
