/** Benchmarks of single decisions, encodings and states: the slopes behind docs/CAPACITY.md. */
package org.sassafrastrail.benchmarks;
