/** Job table, its records in the key-value service and its replica on the standby. */
package org.teaselwood.entry.jobs;
