/** Benchmarks of single decisions, message encodings and state sizes, the basis of docs/CAPACITY.md. */
package org.sassafrastrail.benchmarks;
