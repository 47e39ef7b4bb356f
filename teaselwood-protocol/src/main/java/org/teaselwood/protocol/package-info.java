/** Messages between processes, their codec and connections. */
package org.teaselwood.protocol;
