/** The process beside a backend server: renews leases, carries out orders, reports. */
package org.teaselwood.workload.agent;
