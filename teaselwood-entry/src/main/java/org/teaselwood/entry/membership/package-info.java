/** Which entries of the region are alive, and their ranking. */
package org.teaselwood.entry.membership;
