/** Measures real processes over loopback: memory, processor time, bytes, calls and times of failure handling. */
package org.teaselwood.bench.control;
