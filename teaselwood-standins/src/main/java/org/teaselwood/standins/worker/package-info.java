/** Stand-in for a worker: the worker's HTTP interface with simulated tasks. */
package org.teaselwood.standins.worker;
