/**
 * The router daemon: receives HTTP requests of callers and dispatches them to sidecars over HTTP, coordinated over
 * links.
 */
package org.sassafrastrail.router;
