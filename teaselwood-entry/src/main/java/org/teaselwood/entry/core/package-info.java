/** The entry core: membership, relay, placer and job table as one pure state machine. */
package org.teaselwood.entry.core;
