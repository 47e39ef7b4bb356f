/** Immutable values that describe jobs with steps, queues and time limits. */
package org.teaselwood.workload.model;
