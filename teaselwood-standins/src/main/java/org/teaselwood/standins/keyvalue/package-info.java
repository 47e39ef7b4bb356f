/** Stand-in for the platform's key-value service: over HTTP on loopback, and in memory with virtual time. */
package org.teaselwood.standins.keyvalue;
