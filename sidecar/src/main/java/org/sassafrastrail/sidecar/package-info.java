/** The sidecar process: accepts links and dispatches from routers and forwards requests to its upstream. */
package org.sassafrastrail.sidecar;
