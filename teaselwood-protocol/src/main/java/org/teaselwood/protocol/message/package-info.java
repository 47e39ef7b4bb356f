/** The messages between the processes of the system; one record a message. */
package org.teaselwood.protocol.message;
