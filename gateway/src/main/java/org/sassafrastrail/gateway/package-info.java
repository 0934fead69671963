/**
 * The gateway daemon: reads callers' requests, makes the attempts that the core decides on, and passes answers on as they
 * come. All traffic is on Undertow's input and output threads and never blocks; decisions are on the control thread.
 */
package org.sassafrastrail.gateway;
