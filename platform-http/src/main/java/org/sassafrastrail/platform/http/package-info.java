/** The platform's interfaces over HTTP. An answer that does not come in time is a typed outcome, never an exception. */
package org.sassafrastrail.platform.http;
