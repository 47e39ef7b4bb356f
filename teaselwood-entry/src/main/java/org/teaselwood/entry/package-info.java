/** Entry process: HTTP front end, relay of the agents and placer. */
package org.teaselwood.entry;
