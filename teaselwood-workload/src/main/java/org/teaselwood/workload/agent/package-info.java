/** Agent of a backend server: renews leases, carries out orders of the placer and reports to it. */
package org.teaselwood.workload.agent;
