/** Benchmarks of real processes over loopback: memory, processor time, traffic, store calls and reaction times. */
package org.teaselwood.bench.control;
