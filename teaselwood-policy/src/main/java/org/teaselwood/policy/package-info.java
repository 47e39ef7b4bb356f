/** Deterministic scheduling decisions without I/O, clocks or threads. */
package org.teaselwood.policy;
