/** Command line of the benchmarks; the subpackages contain the benchmarks and the fuzzer. */
package org.teaselwood.bench;
