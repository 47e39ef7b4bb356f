/** Benchmarks of the policy against three baselines on the same seeded work stream, in virtual time. */
package org.teaselwood.bench.policy;
