/**
 * The gateway daemon: reads callers' requests, makes the attempts that the core decides on, and streams the responses back.
 * All traffic runs on Undertow's I/O threads and never blocks; decisions are made on the control thread.
 */
package org.sassafrastrail.gateway;
