/** Callers that put load on routers and report what each client account got. */
package org.sassafrastrail.load;
