/** The job table, its records in the key-value service and its copy at the standby. */
package org.teaselwood.entry.jobs;
