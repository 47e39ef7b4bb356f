package org.teaselwood.bench.policy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Template;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.JobRequest;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;

/** Measures a placement with its release and the packing of all guarantees, at the two-year size. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PolicyMicrobenchmark {
    private static final int BUSY_JOBS = 1_000;

    private final Deployment deployment = Deployment.named("two-year");
    private final GuaranteeScheduler scheduler = new GuaranteeScheduler();
    private long nextJobNumber;

    /** Occupies most of the cluster. */
    @Setup
    public void fill() {
        deployment.servers().forEach(server -> scheduler.handle(new PolicyEvent.ServerJoined(server), 0));
        scheduler.handle(new PolicyEvent.ConfigurationChanged(deployment.configuration()), 0);
        for (int index = 0; index < BUSY_JOBS; index++) {
            submit();
        }
    }

    private List<PolicyDecision> submit() {
        Template single = deployment.classes().get(1).template();
        String team = "team-%03d".formatted(nextJobNumber % 130);
        JobIdentifier job = new JobIdentifier("j" + nextJobNumber++);
        JobRequest request = new JobRequest(job, team, single, true, false, 0, Long.MAX_VALUE);
        return scheduler.handle(new PolicyEvent.JobSubmitted(request), 0);
    }

    /** Measures one placement and the end of its attempt, including the invariant check of the placement. */
    @Benchmark
    public int placement() {
        int size = 0;
        for (PolicyDecision decision : submit()) {
            if (decision instanceof PolicyDecision.Place place) {
                size += scheduler
                        .handle(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.SUCCEEDED, List.of()), 0)
                        .size();
            }
        }
        return size;
    }

    /** Measures the packing of all guarantees from scratch, as for a new configuration. */
    @Benchmark
    public void packAllGuarantees() {
        scheduler.checkGuarantees(deployment.configuration());
    }
}
