/** Messages between the processes of the system, with one record per message. */
package org.teaselwood.protocol.message;
