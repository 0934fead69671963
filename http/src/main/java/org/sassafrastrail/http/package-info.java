/** HTTP by Undertow: a server service, a client for whole and streamed answers, and problem answers (RFC 9457). */
package org.sassafrastrail.http;
