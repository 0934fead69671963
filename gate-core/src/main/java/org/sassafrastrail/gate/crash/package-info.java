/**
 * The evidence of upstream crashes, and its attribution to parts of prompts: a gateway collects what the requests had in
 * common that were lost in crashes, shares that with its peers, and derives which requests crash upstreams.
 */
package org.sassafrastrail.gate.crash;
