/** The sidecar daemon: links and dispatches from routers on one side, the upstream on the other. */
package org.sassafrastrail.sidecar;
