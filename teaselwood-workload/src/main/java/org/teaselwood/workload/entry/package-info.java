/** Election of the placer, its connections to agents and the store, and the operations of callers. */
package org.teaselwood.workload.entry;
