/** Stand-in for a worker: simulated tasks behind the worker's HTTP interface. */
package org.teaselwood.standins.worker;
