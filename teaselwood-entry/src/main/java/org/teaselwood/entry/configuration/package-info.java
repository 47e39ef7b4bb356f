/** The configuration of an entry as a pure state machine, plugged into the entry core. */
package org.teaselwood.entry.configuration;
