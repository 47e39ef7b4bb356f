package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.teaselwood.entry.core.EntryCore;
import org.teaselwood.entry.core.EntryCoreSettings;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.model.BackendServer;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/**
 * The simulated cluster of one run, with two regions: entries, agents, workers, network, key-value service and callers.
 * The same seed and actions give the same run. Confined to one thread.
 */
final class SimulatedCluster {
    /** Data centres of the first region, each with one entry and two backend servers. */
    static final List<String> DATA_CENTRES = List.of("north", "south", "west");

    /** Name of the first region. */
    static final String REGION = "region";

    /** Name of the second, smaller region, which shares only the key-value service with the first one. */
    static final String SECOND_REGION = "second-region";

    private static final String SECOND_REGION_DATA_CENTRE = "east";
    /** Minimum number of servers that can hold the guarantees. */
    private static final int SERVERS_OF_SECOND_REGION = 3;

    private static final long START_MILLISECONDS = 1_000_000;
    /** Backend servers in each data centre of the first region; they share a rack. */
    static final int SERVERS_PER_DATA_CENTRE = 2;

    private static final int INTERNAL_PORT = 7_000;
    private static final long REVISION_QUERY_MILLISECONDS = 500;

    private final VirtualTime time = new VirtualTime(START_MILLISECONDS);
    private final RandomGenerator random;
    private final FakeNetwork network;
    private final FakeStore store = new FakeStore(time);
    private final Oracle oracle = new Oracle();
    private final Supplier<Scheduler> schedulers;
    private final List<String> trace = new ArrayList<>();
    private final TreeMap<String, FakeEntry> entries = new TreeMap<>();
    private final TreeMap<String, FakeAgent> agents = new TreeMap<>();
    private final List<FakeCaller> callers = new ArrayList<>();
    private int startedProcesses;
    private int activeFaults;
    private long lastFaultEnded;
    private int activeStoreFaults;
    private long lastStoreFaultEnded;
    private boolean tracing;

    SimulatedCluster(long seed, Supplier<Scheduler> schedulers) {
        this.random = new SplittableRandom(seed);
        this.network = new FakeNetwork(time, random);
        this.schedulers = schedulers;
        DATA_CENTRES.forEach(this::startEntry);
        DATA_CENTRES.forEach(dataCentre -> {
            for (int index = 0; index < SERVERS_PER_DATA_CENTRE; index++) {
                startAgent(dataCentre + "-" + index, dataCentre, null);
            }
        });
        startEntry(SECOND_REGION_DATA_CENTRE);
        for (int index = 0; index < SERVERS_OF_SECOND_REGION; index++) {
            startAgent(SECOND_REGION_DATA_CENTRE + "-" + index, SECOND_REGION_DATA_CENTRE, null);
        }
        store.watchConfiguration(() -> entries.values().forEach(FakeEntry::configurationMayHaveChanged));
        queryRevisions();
    }

    static String hostPort(EntryAddress address) {
        return address.host() + ":" + address.port();
    }

    VirtualTime time() {
        return time;
    }

    RandomGenerator random() {
        return random;
    }

    FakeNetwork network() {
        return network;
    }

    FakeStore store() {
        return store;
    }

    Oracle oracle() {
        return oracle;
    }

    List<FakeCaller> callers() {
        return callers;
    }

    List<FakeEntry> entries() {
        return List.copyOf(entries.values());
    }

    List<FakeAgent> agents() {
        return List.copyOf(agents.values());
    }

    void startTracing() {
        tracing = true;
    }

    List<String> traceLines() {
        return trace;
    }

    void trace(String process, String text) {
        if (tracing) {
            trace.add((time.nowMilliseconds() - START_MILLISECONDS) + " " + process + ": " + text);
        }
    }

    static String regionOf(String dataCentre) {
        return dataCentre.equals(SECOND_REGION_DATA_CENTRE) ? SECOND_REGION : REGION;
    }

    /** Returns the addresses behind the load balancer of a region: entries neither dead nor shutting down. */
    List<EntryAddress> loadBalancerAddresses(String region) {
        return entries.values().stream()
                .filter(entry -> entry.region().equals(region))
                .filter(entry -> !entry.node().isDead() && !entry.isShuttingDown())
                .map(FakeEntry::address)
                .toList();
    }

    List<FakeEntry> readyEntries() {
        return entries.values().stream().filter(FakeEntry::isReady).toList();
    }

    List<FakeEntry> readyEntries(String region) {
        return readyEntries().stream()
                .filter(entry -> entry.region().equals(region))
                .toList();
    }

    EntryCore newCore(EntryAddress address, EntryEffects effects) {
        String region = regionOf(address.dataCentre());
        return new EntryCore(
                EntryCoreSettings.of(address, region, "start-" + startedProcesses, loadBalancerAddresses(region), 0),
                schedulers,
                effects);
    }

    /** Starts an entry with a new identifier and address, like a replacement VM. */
    void startEntry(String dataCentre) {
        startedProcesses++;
        String name = "entry-" + startedProcesses;
        Node node = new Node(name, dataCentre);
        entries.put(name, new FakeEntry(this, node, new EntryAddress(name, dataCentre, name, INTERNAL_PORT)));
        trace(name, "starts in " + dataCentre);
    }

    /** Starts an agent. {@code runningWorker} is the surviving worker if only the agent is replaced, or null. */
    void startAgent(String server, String dataCentre, FakeWorker runningWorker) {
        startedProcesses++;
        FakeWorker worker = runningWorker == null ? new FakeWorker(time, server, oracle) : runningWorker;
        BackendServer description = new BackendServer(
                server,
                regionOf(dataCentre),
                dataCentre,
                dataCentre + "-rack",
                Set.of(),
                Workload.ACCELERATORS,
                32,
                131_072,
                8,
                64,
                1.0);
        Node node = new Node("agent-" + server + "-" + startedProcesses, dataCentre);
        agents.put(server, new FakeAgent(this, node, description, "start-" + startedProcesses, worker));
        oracle.agentReplaced(server);
        trace(node.name(), "starts");
    }

    void removeEntry(FakeEntry entry) {
        entries.remove(entry.address().entry());
    }

    /** Records a fault of the key-value service, which configurations in force must survive, and schedules its end. */
    void recordStoreFault(long durationMilliseconds, Runnable end) {
        activeStoreFaults++;
        time.schedule(durationMilliseconds, () -> {
            activeStoreFaults--;
            lastStoreFaultEnded = time.nowMilliseconds();
            end.run();
        });
    }

    /** Returns whether any fault of a process or the network was active within the given last milliseconds. */
    boolean hadProcessOrNetworkFaultWithin(long milliseconds) {
        return activeFaults > 0 || time.nowMilliseconds() - lastFaultEnded < milliseconds;
    }

    /** Records a fault of a process or the network and schedules its end. */
    void recordFault(long durationMilliseconds, Runnable end) {
        activeFaults++;
        time.schedule(durationMilliseconds, () -> {
            activeFaults--;
            lastFaultEnded = time.nowMilliseconds();
            end.run();
        });
    }

    /** Returns whether any fault was active within the given last milliseconds. */
    boolean hadFaultWithin(long milliseconds) {
        return hadProcessOrNetworkFaultWithin(milliseconds)
                || activeStoreFaults > 0
                || time.nowMilliseconds() - lastStoreFaultEnded < milliseconds;
    }

    void advance(long milliseconds) {
        time.advanceTo(time.nowMilliseconds() + milliseconds);
        oracle.check(time.nowMilliseconds());
    }

    FakeCaller submit(Submission submission, String region) {
        FakeCaller caller = new FakeCaller(this, submission, region);
        callers.add(caller);
        caller.start();
        return caller;
    }

    /** Returns whether any caller cancelled the submission; callers in both regions may use the same key. */
    boolean isCancelled(Submission submission) {
        return callers.stream().anyMatch(caller -> caller.isCancelled() && caller.submission() == submission);
    }

    private void queryRevisions() {
        entries.values().stream().filter(FakeEntry::isReady).forEach(entry -> Operator.queryRevision(this, entry));
        time.schedule(REVISION_QUERY_MILLISECONDS, this::queryRevisions);
    }
}
