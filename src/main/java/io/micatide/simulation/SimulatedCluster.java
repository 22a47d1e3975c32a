package io.micatide.simulation;

import io.micatide.archive.Archiver;
import io.micatide.controller.Controller;
import io.micatide.controller.ControllerComponents;
import io.micatide.jobs.JobMemoryLimit;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.scheduler.ArrayTaskLimit;
import io.micatide.standby.KeyspaceReplica;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * A whole deployment in virtual time: controllers with the real actors, a state service, a cloud, workers, and what can happen to the
 * controllers. Controller i listens as {@code c<i>}, to siblings as {@code p<i>}; settings have to name them so, and the services
 * {@code state} and {@code cloud}. Times in seconds where the name does not say otherwise.
 */
public final class SimulatedCluster {
    static final String STORE = "state";
    static final String CLOUD = "cloud";
    static final String CONTROLLER_PREFIX = "c";
    static final String PEER_PREFIX = "p";
    private static final long CONTROLLER_HEAP_BYTES = 64L << 20;

    /** How a controller is made: what differs from one rehearsal to another. */
    public interface ClusterConfiguration {
        Settings settings(int controller);

        Tuning tuning(int controller);

        /** The copy that its standby keeps of a prefix. */
        default KeyspaceReplica keyspaceReplica(String prefix, long mostBytes) {
            return new KeyspaceReplica(prefix, mostBytes);
        }

        /** What its version can do. */
        default Capabilities capabilities(int controller) {
            return Capabilities.ALL;
        }

        /** The heap that the accepted jobs may take on a controller, in bytes. */
        default long jobMemoryBytes(int controller) {
            return JobMemoryLimit.maxBytesInHeap(CONTROLLER_HEAP_BYTES);
        }

        /** How long a task runs. */
        default long runtimeMicros(String job, int index, long estimateMicros) {
            return estimateMicros;
        }

        /** What a controller reaches an endpoint by. */
        default Http link(int controller, String endpoint, Http http) {
            return http;
        }

        /** A controller was started, at the beginning or again. */
        default void controllerStarted(int number, Controller controller) {}
    }

    public final VirtualTime time = new VirtualTime();
    public final VirtualNetwork network;
    public final SimulatedStore store;
    public final VirtualTime.Process user = time.new Process();
    public final FaultInjector faults;
    private final VirtualTime.Process world = time.new Process();
    private final ClusterConfiguration configuration;
    private final int count;
    private final SimulatedWorker.Witness witness;
    private final List<VirtualTime.Process> processes = new ArrayList<>();
    private final List<Controller> controllers = new ArrayList<>();
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final Map<String, byte[]> jobSpec = new HashMap<>();
    private final List<String> eventLog = new ArrayList<>();
    private final GangRendezvous gangRendezvous;
    private final Map<VirtualTime.Process, String> machineOf = new HashMap<>();
    private final SimulatedCloud cloud;
    /** Machines that are up. */
    private final Map<String, SimulatedCloud.RentedMachine> runningMachines = new LinkedHashMap<>();

    /** @param machines how many the cloud has */
    public SimulatedCluster(
            Random random,
            int controllers,
            ClusterConfiguration plan,
            List<MachineType> types,
            int machines,
            SimulatedStore.Limits limits,
            SimulatedWorker.Witness witness) {
        this.configuration = plan;
        this.count = controllers;
        this.network = new VirtualNetwork(time, random);
        this.store = new SimulatedStore(world, limits);
        this.faults = new FaultInjector(this, random);
        this.gangRendezvous = new GangRendezvous(world, plan.settings(0));
        this.witness = witness;
        this.cloud = new SimulatedCloud(world, types, machines, this::runningMachines, name -> {
            if (workers.containsKey(name)) {
                runningMachines.remove(name);
                workers.remove(name).delete();
            }
        });
        network.listen(STORE, world, store::handle);
        network.listen(CLOUD, world, cloud::handle);
        for (int i = 0; i < controllers; i++) {
            processes.add(null);
            this.controllers.add(null);
        }
    }

    /** Where a controller listens for users and workers; its label as well. */
    static String controllerEndpoint(int number) {
        return CONTROLLER_PREFIX + number;
    }

    /** Where a controller listens for its peers. */
    static String peerEndpoint(int number) {
        return PEER_PREFIX + number;
    }

    /** Starts all controllers. */
    public void start() {
        for (int i = 0; i < count; i++) {
            boot(i);
        }
    }

    void boot(int number) {
        VirtualTime.Process process = time.new Process();
        processes.set(number, process);
        Controller controller = new Controller(
                configuration.settings(number),
                configuration.tuning(number),
                process,
                (endpoint, most) -> configuration.link(number, endpoint, faults.link(number, endpoint, process)),
                new ControllerComponents(
                        Archiver::new,
                        configuration::keyspaceReplica,
                        configuration.capabilities(number),
                        configuration.jobMemoryBytes(number),
                        ArrayTaskLimit.maxTasksInHeap(CONTROLLER_HEAP_BYTES)));
        controllers.set(number, controller);
        network.listen(controllerEndpoint(number), process, controller::handleRequest);
        network.listen(peerEndpoint(number), process, controller::handlePeerRequest);
        configuration.controllerStarted(number, controller);
        process.execute(controller::start);
    }

    // ---- what is known of it

    /** What happened to it so far, with the millisecond at which it did. */
    public List<String> eventLog() {
        return eventLog;
    }

    public int controllers() {
        return count;
    }

    public Controller controller(int number) {
        return controllers.get(number);
    }

    public VirtualTime.Process process(int number) {
        return processes.get(number);
    }

    public int machines() {
        return workers.size();
    }

    /** Machines that are up. */
    public Collection<SimulatedCloud.RentedMachine> runningMachines() {
        return runningMachines.values();
    }

    /** Machines are gone from one moment to the next, with all that is on them. */
    public void reclaimMachines(Predicate<SimulatedCloud.RentedMachine> which) {
        List<String> names = runningMachines.values().stream()
                .filter(which)
                .map(SimulatedCloud.RentedMachine::name)
                .toList();
        note("reclaimed " + names);
        names.forEach(cloud::delete);
    }

    /** A machine that is up already and that nobody rented. */
    public void addUnrentedMachine(MachineType type, String zone) {
        cloud.addUnrentedMachine(type, zone, false);
    }

    /** How many machines the cloud has from now on; those that are rented stay. */
    public void setCloudCapacity(int machines) {
        cloud.setCapacity(machines);
    }

    /** The cloud's lists are so old from now on, and machines take so long to boot, drawn anew for each; microseconds. */
    public void setCloudDelays(LongSupplier listMicros, LongSupplier bootMicros) {
        cloud.setDelays(listMicros, bootMicros);
    }

    /** Label of the controller that holds the leader row, or "". */
    public String leaderLabel() {
        SimulatedStore.Value row = store.values().get(StoreKeys.LEADER);
        return row == null ? "" : ((StoredRecord.Leader) recordOf(StoreKeys.LEADER, row)).owner();
    }

    /** Token of that row, 0 if there is none. */
    public long fencingToken() {
        SimulatedStore.Value row = store.values().get(StoreKeys.LEADER);
        return row == null ? 0 : row.version();
    }

    /** Number of that controller, 0 if there is none. */
    public int leader() {
        String owner = leaderLabel();
        return owner.isEmpty() ? 0 : Integer.parseInt(owner.substring(1));
    }

    /** A stored value as the service reads it. */
    public static StoredRecord recordOf(String key, SimulatedStore.Value value) {
        try {
            return StoreCodec.item(("{\"k\":\"" + key + "\",\"stamp\":" + value.version() + ",\"data\":"
                                    + new String(value.json(), StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8))
                    .record();
        } catch (MalformedException e) {
            throw new IllegalStateException(key, e);
        }
    }

    // ---- for the fault injector

    void note(String event) {
        eventLog.add(time.now() / Micros.MILLISECOND + " " + event);
    }

    /** The process in which everything beside controllers, workers and users runs. */
    VirtualTime.Process world() {
        return world;
    }

    boolean isController(VirtualTime.Process process) {
        return processes.contains(process);
    }

    Settings settings() {
        return configuration.settings(0);
    }

    /** Name of the worker that runs in a process, or "". */
    String workerOf(VirtualTime.Process process) {
        return machineOf.getOrDefault(process, "");
    }

    Set<String> workerNames() {
        return workers.keySet();
    }

    /** The worker of a machine, null if the machine is gone. */
    SimulatedWorker worker(String name) {
        return workers.get(name);
    }

    void forEachWorkerProcess(BiConsumer<VirtualTime.Process, String> action) {
        machineOf.forEach(action);
    }

    // ---- workers

    private void runningMachines(SimulatedCloud.RentedMachine machine) {
        VirtualTime.Process process = time.new Process();
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            known.put(
                    controllerEndpoint(i),
                    faults.heartbeatLink(network.from(process, controllerEndpoint(i)), machine.name()));
        }
        machineOf.put(process, machine.name());
        SimulatedWorker worker = new SimulatedWorker(
                process, configuration.settings(0), machine, known, this::spec, gangRendezvous, witness);
        network.listen(machine.name() + ":9000", process, worker::handle);
        workers.put(machine.name(), worker);
        runningMachines.put(machine.name(), machine);
        worker.setRunTime(configuration::runtimeMicros);
        worker.start();
    }

    private JobSpec spec(String id) {
        byte[] body = jobSpec.get(id);
        try {
            return body == null
                    ? null
                    : CloudSideCodec.jobSpec(("{\"spec\":" + new String(body, StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(id, e);
        }
    }

    // ---- users

    /** A job's body on the wire that asks for nothing more. */
    public byte[] describe(String id, String form, int tasks, double cpus, double seconds) {
        return describe(id, form, tasks, cpus, seconds, JobConstraints.NONE);
    }

    /**
     * A job's body on the wire, which workers know from now on as its user's description.
     *
     * @param form the wire's word
     */
    public byte[] describe(String id, String form, int tasks, double cpus, double seconds, JobConstraints constraints) {
        byte[] body = constraints.toJson(id, form, tasks, cpus, seconds);
        jobSpec.put(id, body);
        return body;
    }

    /** A user's description of a job on the wire, as workers obtain it. */
    public void uploadDescription(String id, byte[] body) {
        jobSpec.put(id, body);
    }

    /** The job as workers know it. */
    public JobSpec jobSpec(String id) {
        return spec(id);
    }

    public Http toController(int number) {
        return network.from(user, controllerEndpoint(number));
    }
}
