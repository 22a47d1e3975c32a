package io.micatide.simulation;

import io.micatide.controller.ControllerServer;
import io.micatide.controller.NettyActorExecutor;
import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.store.StoreKeys;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A whole deployment in one process on loopback: controllers that run the ordinary code over sockets, and stand-ins of the state
 * service, the cloud and the workers. For trying micatide out, and for tests over real sockets. Nothing is kept when it ends.
 */
public final class LocalDeployment implements AutoCloseable {
    /** The team to submit for; it has no limit but what the machines hold. */
    public static final String TEAM = "demo";

    private static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 32), 50, 2, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));
    private static final int MACHINES = 8;
    private static final SimulatedStore.Limits LIMITS = new SimulatedStore.Limits(400, 200, 16 * 1024, 16);
    private static final int MOST_CONNECTIONS = 1_000;
    private static final int CONNECTIONS_A_WORKER = 1;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger();

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final NettyActorExecutor time = new NettyActorExecutor(loop);
    private final SimulatedStore state;
    private final SimulatedCloud cloud;
    private final GangRendezvous gangs;
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final List<Settings> settings = new ArrayList<>();
    private final List<ControllerServer> nodes = new ArrayList<>();
    private final Tuning tuning;
    private final SimulatedWorker.Witness witness;

    /**
     * Binds all of it; controllers serve soon after.
     *
     * @param port of the first controller for users, 0 for any that is free
     * @param witness is told what happens to tasks, on another thread than the caller's
     * @throws IOException a port cannot be had
     */
    public LocalDeployment(int controllers, int port, boolean description, SimulatedWorker.Witness witness)
            throws IOException, InterruptedException {
        this.witness = witness;
        state = new SimulatedStore(time, LIMITS);
        cloud = new SimulatedCloud(time, List.of(TYPE), MACHINES, this::up, this::gone);
        int statePort = free(0);
        int cloudPort = free(0);
        new HttpServer(state::handle, MOST_CONNECTIONS)
                .bind(loop, local(statePort))
                .sync();
        new HttpServer(cloud::handle, MOST_CONNECTIONS)
                .bind(loop, local(cloudPort))
                .sync();
        int[] users = new int[controllers];
        int[] peers = new int[controllers];
        for (int i = 0; i < controllers; i++) {
            users[i] = free(i == 0 ? port : 0);
            peers[i] = free(0);
        }
        for (int i = 0; i < controllers; i++) {
            settings.add(settings(i, users, peers, statePort, cloudPort));
        }
        gangs = new GangRendezvous(time, settings.get(0));
        Tuning defaults = Tuning.defaults(settings.get(0));
        tuning = new Tuning(
                defaults.leaderLeaseMicros(),
                defaults.idleMachineMicros(),
                true,
                defaults.archiveBatchSize(),
                true,
                description,
                true);
        for (int i = 0; i < controllers; i++) {
            nodes.add(new ControllerServer(settings.get(i), tuning));
            nodes.get(i).start();
        }
    }

    /** One that nobody watches. */
    public static LocalDeployment start(int controllers, int port, boolean description)
            throws IOException, InterruptedException {
        return new LocalDeployment(controllers, port, description, new SimulatedWorker.Witness() {
            @Override
            public void taskStarted(String task, long attempt, String machine) {
                // Nobody counts.
            }

            @Override
            public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
                // Nobody counts.
            }
        });
    }

    private static String local(int port) {
        return "127.0.0.1:" + port;
    }

    /**
     * Below the ports that systems give to outgoing connections: one of those would take a controller's port between its end and
     * its restart.
     */
    private static int free(int wanted) throws IOException {
        for (int tries = 0; wanted == 0 && tries < PORTS; tries++) {
            try {
                return free(FIRST_PORT
                        + (int) ((ProcessHandle.current().pid() * 64 + NEXT_PORT.getAndIncrement()) % PORTS));
            } catch (IOException e) {
                // Somebody else's.
            }
        }
        try (ServerSocket socket = new ServerSocket(wanted, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Settings settings(int number, int[] users, int[] peers, int state, int cloud) {
        List<Settings.Peer> siblings = new ArrayList<>();
        for (int i = 0; i < users.length; i++) {
            if (i != number) {
                siblings.add(new Settings.Peer("c" + i, "a", local(peers[i])));
            }
        }
        return new Settings(
                "c" + number,
                "a",
                local(users[number]),
                local(peers[number]),
                siblings,
                local(cloud),
                local(state),
                List.of("a", "b"),
                100 * Micros.MILLISECOND,
                Map.of(TEAM, new Team(TEAM, 0, 0, 0, 0)),
                List.of(),
                Micros.SECOND,
                10 * Micros.SECOND,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                30 * Micros.SECOND,
                LIMITS.requestsPerSecond(),
                LIMITS.writesPerSecond(),
                LIMITS.maxValueBytes(),
                LIMITS.maxValueBytes(),
                LIMITS.maxTransactionWrites(),
                20,
                Micros.SECOND,
                1,
                256,
                MOST_CONNECTIONS);
    }

    /** Where users reach each controller, as host and port. */
    public List<String> endpoints() {
        return settings.stream().map(Settings::bind).toList();
    }

    /** Ends a controller as if it were killed, and starts another in its place. */
    public void restart(int number) throws InterruptedException {
        nodes.get(number).close();
        nodes.get(number).awaitTermination();
        nodes.set(number, new ControllerServer(settings.get(number), tuning));
        nodes.get(number).start();
    }

    private void up(SimulatedCloud.RentedMachine machine) {
        Map<String, Http> controllers = new LinkedHashMap<>();
        settings.forEach(
                each -> controllers.put(each.label(), new HttpClient(loop, each.bind(), CONNECTIONS_A_WORKER)));
        SimulatedWorker worker =
                new SimulatedWorker(time, settings.get(0), machine, controllers, this::described, gangs, witness);
        workers.put(machine.name(), worker);
        worker.start();
    }

    private void gone(String machine) {
        SimulatedWorker worker = workers.remove(machine);
        if (worker != null) {
            worker.delete();
        }
    }

    /** Users upload descriptions beside the protocol; here the row that a controller stored is one. */
    private JobSpec described(String id) {
        SimulatedStore.Value row = state.values().get(StoreKeys.job(id));
        try {
            return row == null ? null : CloudSideCodec.jobSpec(row.json());
        } catch (MalformedException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        nodes.forEach(ControllerServer::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
