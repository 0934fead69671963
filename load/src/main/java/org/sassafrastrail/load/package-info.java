/** Load generator: sends requests to routers and reports throughput, latency and failures of each client account. */
package org.sassafrastrail.load;
