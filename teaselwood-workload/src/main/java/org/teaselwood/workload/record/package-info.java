/** Keys and JSON values of what outlives every process. */
package org.teaselwood.workload.record;
