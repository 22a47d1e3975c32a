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
 * A short day of the whole service in virtual time, with small batches so that jobs are archived all the time: {@link ArchiveUsers} submit,
 * cancel, poll and submit again long after, controllers are killed. What users are told, where tasks run and what {@link StoredJobs} finds
 * is held against the invariants.
 */
public final class ArchiveScenario {
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));
    static final int CONTROLLERS = 3;

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final SimulatedStore state;
    final List<String> broken = new ArrayList<>();
    final List<VirtualTime.Process> processes = new ArrayList<>();
    int kills;
    int interactions;
    /** The interaction with the state service at which its controller is killed; 0: never. */
    int killAt;
    /** Whether what is killed had its request carried out already. */
    boolean killAfterwards;

    final VirtualTime.Process world = time.new Process();
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

    /** A state service, a cloud and a network, and nobody there yet. */
    static ArchiveScenario withoutControllers(long seed, int valueBytes, int changes) {
        return new ArchiveScenario(seed, valueBytes, changes, Archiver::new, false);
    }

    /** An ordinary day from a seed, on a network that the recorder hears. */
    public static void play(long seed, VirtualNetwork.Recorder recorder) {
        ArchiveScenario day = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        day.network.record(recorder);
        day.users.busy(30);
        day.time.run(30 * Micros.SECOND);
    }

    /** The controllers start with what is stored; users know what they were told by another service. */
    void goesOnAs(ArchiveScenario other) {
        users.goOnAs(other.users);
        finished.addAll(other.finished);
        for (int i = 0; i < CONTROLLERS; i++) {
            boot(i);
        }
        time.run(5 * Micros.SECOND);
    }

    private ArchiveScenario(long seed, int valueBytes, int changes, Archiver.Factory factory, boolean controllers) {

        this.random = new Random(seed);
        this.valueBytes = valueBytes;
        this.changes = changes;
        this.factory = factory;
        network = new VirtualNetwork(time, random);
        state = new SimulatedStore(world, new SimulatedStore.Limits(400, 120, valueBytes, changes));
        cloud = new SimulatedCloud(world, List.of(TYPE), 6, this::up, name -> {
            if (workers.containsKey(name)) {
                workers.remove(name).delete();
            }
        });
        network.listen("state", world, state::handle);
        network.listen("cloud", world, cloud::handle);
        network.observe(new VirtualNetwork.Observer() {
            @Override
            public void requestSent(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && !killAfterwards) {
                    interaction(from);
                }
            }

            @Override
            public void responseSent(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && killAfterwards) {
                    interaction(from);
                }
            }
        });
        for (int i = 0; i < CONTROLLERS; i++) {
            processes.add(null);
            if (controllers) {
                boot(i);
            }
        }
    }

    private void interaction(VirtualTime.Process from) {
        if (++interactions == killAt && processes.contains(from)) {
            kill(processes.indexOf(from), 1 + random.nextInt(5));
        }
    }

    private Settings settings(int number) {
        Map<String, Team> teams = new LinkedHashMap<>();
        teams.put("blue", new Team("blue", 0, 0, 0, 0));
        List<Settings.Peer> siblings = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != number) {
                siblings.add(new Settings.Peer("c" + i, "a", "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                "a",
                "c" + number,
                "p" + number,
                siblings,
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
                (endpoint, most) -> network.from(process, endpoint),
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

    private void up(SimulatedCloud.RentedMachine machine) {
        Map<String, Http> controllers = new LinkedHashMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.put("c" + i, network.from(world, "c" + i));
        }
        SimulatedWorker worker = new SimulatedWorker(
                world,
                settings(0),
                machine,
                controllers,
                users::described,
                new GangRendezvous(world, settings(0)),
                new SimulatedWorker.Witness() {
                    @Override
                    public void taskStarted(String task, long attempt, String name) {
                        String other = running.putIfAbsent(task, name);
                        if (other != null) {
                            broken.add("ran_twice " + task + " on " + other + " and " + name);
                        }
                        ArchiveUsers.Job job = users.jobs.get(task.substring(0, task.indexOf('/')));
                        for (String need : job.needs) {
                            for (int i = 0; i < users.jobs.get(need).tasks; i++) {
                                if (!finished.contains(need + "/" + i)) {
                                    broken.add("too_early " + task + " before " + need);
                                }
                            }
                        }
                        if (finished.contains(task) && "done".equals(job.end)) {
                            broken.add("ran again " + task);
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
