/** Stateful fuzzing of the real entry and agent cores with in-memory fakes, in virtual time, checked by an oracle. */
package org.teaselwood.bench.fuzz;
