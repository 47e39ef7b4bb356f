/** State machine of the elected placer: job states, placement, preemption and recovery. */
package org.teaselwood.workload.placer;
