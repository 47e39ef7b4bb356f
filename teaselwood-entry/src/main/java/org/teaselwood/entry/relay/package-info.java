/** Connections of the agents of a data centre and the forwarding of their messages. */
package org.teaselwood.entry.relay;
