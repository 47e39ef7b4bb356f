/** Stand-ins for the key-value service of the platform: one over HTTP on loopback, one in memory with virtual time. */
package org.teaselwood.standins.keyvalue;
