/** The placer: takeover, attempts, recovery and the requests of callers. */
package org.teaselwood.entry.placer;
