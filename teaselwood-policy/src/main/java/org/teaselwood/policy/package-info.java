/** Pure, deterministic placement decisions. */
package org.teaselwood.policy;
