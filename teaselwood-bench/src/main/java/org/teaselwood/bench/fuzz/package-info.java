/** Stateful fuzzing of the real cores with in-memory fakes, in virtual time, against an oracle. */
package org.teaselwood.bench.fuzz;
