/** HTTP on Undertow: a server service, a client for full and streamed responses, and problem details (RFC 9457). */
package org.sassafrastrail.http;
