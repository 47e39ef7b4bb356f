/** Entry core: membership, relay, placer and job table as one deterministic state machine without I/O. */
package org.teaselwood.entry.core;
