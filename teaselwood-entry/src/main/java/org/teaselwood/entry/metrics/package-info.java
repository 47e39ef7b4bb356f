/** Metrics of the entry process. */
package org.teaselwood.entry.metrics;
