package io.micatide.archive;

import io.micatide.controller.Controller;
import io.micatide.controller.ControllerComponents;
import io.micatide.model.ExitCause;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.simulation.GangRendezvous;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedStore;
import io.micatide.simulation.SimulatedWorker;
import io.micatide.simulation.VirtualNetwork;
import io.micatide.simulation.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A short run of the whole service in virtual time, with small batches so that jobs are archived all the time. {@link ArchiveUsers} submit,
 * cancel and poll jobs and submit them again long after; controllers are killed. The answers to users, the tasks that run and the jobs that
 * {@link StoredJobs} finds are checked against the invariants.
 */
public final class ArchiveScenario {
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));
    static final int CONTROLLERS = 3;

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final SimulatedStore store;
    final List<String> violations = new ArrayList<>();
    final List<VirtualTime.Process> processes = new ArrayList<>();
    int kills;
    int interactions;
    /** Number of the interaction with the store at which the calling controller is killed; 0: never. */
    int killAt;
    /** Whether the controller is killed when the store has executed the request, not when the request is sent. */
    boolean killAfterResponse;

    final VirtualTime.Process environment = time.new Process();
    final ArchiveUsers users = new ArchiveUsers(this);
    final Set<String> finished = new HashSet<>();
    private final SimulatedCloud cloud;
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final Map<String, String> running = new HashMap<>();
    private final int changes;
    private final int valueBytes;
    private final Archiver.Factory factory;

    ArchiveScenario(long seed, int valueBytes, int changes, Archiver.Factory factory) {
        this(seed, valueBytes, changes, factory, true);
    }

    /** Returns a scenario with a store, a cloud and a network, in which no controller has been started. */
    static ArchiveScenario withoutControllers(long seed, int valueBytes, int changes) {
        return new ArchiveScenario(seed, valueBytes, changes, Archiver::new, false);
    }

    /**
     * Runs a scenario without injected failures and records its network traffic.
     *
     * @param seed the seed of the scenario
     * @param recorder receives the traffic of the network
     */
    public static void runRecorded(long seed, VirtualNetwork.Recorder recorder) {
        ArchiveScenario scenario = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        scenario.network.record(recorder);
        scenario.users.runRequests(30);
        scenario.time.run(30 * Micros.SECOND);
    }

    /** Starts the controllers on the stored records; users keep the answers that they got in the given scenario. */
    void startControllersAfter(ArchiveScenario other) {
        users.copyKnowledge(other.users);
        finished.addAll(other.finished);
        for (int i = 0; i < CONTROLLERS; i++) {
            boot(i);
        }
        time.run(5 * Micros.SECOND);
    }

    private ArchiveScenario(
            long seed, int valueBytes, int changes, Archiver.Factory factory, boolean startsControllers) {
        this.random = new Random(seed);
        this.valueBytes = valueBytes;
        this.changes = changes;
        this.factory = factory;
        network = new VirtualNetwork(time, random);
        store = new SimulatedStore(environment, new SimulatedStore.Limits(400, 120, valueBytes, changes));
        cloud = new SimulatedCloud(environment, List.of(TYPE), 6, this::startWorker, name -> {
            if (workers.containsKey(name)) {
                workers.remove(name).delete();
            }
        });
        network.listen("state", environment, store::handle);
        network.listen("cloud", environment, cloud::handle);
        network.observe(new VirtualNetwork.Observer() {
            @Override
            public void requestSent(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && !killAfterResponse) {
                    countInteraction(from);
                }
            }

            @Override
            public void responseSent(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && killAfterResponse) {
                    countInteraction(from);
                }
            }
        });
        for (int i = 0; i < CONTROLLERS; i++) {
            processes.add(null);
            if (startsControllers) {
                boot(i);
            }
        }
    }

    private void countInteraction(VirtualTime.Process from) {
        if (++interactions == killAt && processes.contains(from)) {
            kill(processes.indexOf(from), 1 + random.nextInt(5));
        }
    }

    private Settings settings(int number) {
        Map<String, Team> teams = new LinkedHashMap<>();
        teams.put("blue", new Team("blue", 0, 0, 0, 0));
        List<Settings.Peer> peers = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != number) {
                peers.add(new Settings.Peer("c" + i, "a", "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                "a",
                "c" + number,
                "p" + number,
                peers,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                teams,
                List.of(),
                800 * Micros.MILLISECOND,
                10 * Micros.SECOND,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                30 * Micros.SECOND,
                400,
                120,
                valueBytes,
                valueBytes,
                changes,
                20,
                Micros.SECOND,
                0.4,
                150,
                700);
    }

    private void boot(int number) {
        VirtualTime.Process process = time.new Process();
        processes.set(number, process);
        Settings settings = settings(number);
        Tuning defaults = Tuning.defaults(settings);
        Controller controller = new Controller(
                settings,
                new Tuning(defaults.leaderLeaseMicros(), 60 * Micros.SECOND, true, 4, false, false, true),
                process,
                (endpoint, maxConnections) -> network.from(process, endpoint),
                ControllerComponents.withArchiver(factory));
        network.listen("c" + number, process, controller::handleRequest);
        network.listen("p" + number, process, controller::handlePeerRequest);
        process.execute(controller::start);
    }

    void kill(int number, int seconds) {
        VirtualTime.Process process = processes.get(number);
        if (process.hasEnded()) {
            return;
        }
        kills++;
        process.end();
        network.processEnded(process);
        time.at(time.now() + seconds * Micros.SECOND, () -> boot(number));
    }

    // ---- workers

    private void startWorker(SimulatedCloud.RentedMachine machine) {
        Map<String, Http> controllers = new LinkedHashMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.put("c" + i, network.from(environment, "c" + i));
        }
        SimulatedWorker worker = new SimulatedWorker(
                environment,
                settings(0),
                machine,
                controllers,
                users::submittedSpec,
                new GangRendezvous(environment, settings(0)),
                new SimulatedWorker.Witness() {
                    @Override
                    public void taskStarted(String task, long attempt, String name) {
                        String other = running.putIfAbsent(task, name);
                        if (other != null) {
                            violations.add("ran_twice " + task + " on " + other + " and " + name);
                        }
                        ArchiveUsers.Job job = users.jobs.get(task.substring(0, task.indexOf('/')));
                        for (String need : job.needs) {
                            for (int i = 0; i < users.jobs.get(need).tasks; i++) {
                                if (!finished.contains(need + "/" + i)) {
                                    violations.add("too_early " + task + " before " + need);
                                }
                            }
                        }
                        if (finished.contains(task) && "done".equals(job.finalState)) {
                            violations.add("ran again after it was done " + task);
                        }
                    }

                    @Override
                    public void taskEnded(String task, long attempt, String name, ExitCause cause) {
                        running.remove(task, name);
                        if (cause == ExitCause.DONE) {
                            finished.add(task);
                        }
                    }
                });
        workers.put(machine.name(), worker);
        worker.start();
    }
}
