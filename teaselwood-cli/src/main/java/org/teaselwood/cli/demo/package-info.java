/** The demo: a whole cluster in one process over loopback sockets. */
package org.teaselwood.cli.demo;
