/** Demo: a complete cluster in one process, connected by loopback sockets. */
package org.teaselwood.cli.demo;
