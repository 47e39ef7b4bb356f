/** Membership and ranking of the entries of a region. */
package org.teaselwood.entry.membership;
