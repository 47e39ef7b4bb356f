/** Benchmark of the policy against three baselines on one seeded stream of work, in virtual time. */
package org.teaselwood.bench.policy;
