/** The worker's HTTP interface: its calls, their replies and their encoding. */
package org.teaselwood.protocol.worker;
