/** Benchmarks and stateful fuzzing. */
package org.teaselwood.bench;
