/** Immutable values of jobs that consist of steps. */
package org.teaselwood.workload.model;
