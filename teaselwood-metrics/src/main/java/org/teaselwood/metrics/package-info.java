/** Counters, gauges and histograms of a process. */
package org.teaselwood.metrics;
