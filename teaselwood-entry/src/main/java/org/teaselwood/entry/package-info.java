/** The entry process: front, relay and placer. */
package org.teaselwood.entry;
