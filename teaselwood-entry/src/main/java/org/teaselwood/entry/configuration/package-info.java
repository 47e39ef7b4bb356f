/** Configuration of an entry as a deterministic state machine that the entry core drives. */
package org.teaselwood.entry.configuration;
