/** The decisions of the one placer: job states, placement, preemption, recovery. */
package org.teaselwood.workload.placer;
