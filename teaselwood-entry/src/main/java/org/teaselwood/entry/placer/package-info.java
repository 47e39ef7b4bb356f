/** The placer: takeover, job recovery, attempts on agents, and the handling of job requests. */
package org.teaselwood.entry.placer;
