package io.micatide.simulation.scale;

import com.sun.management.OperatingSystemMXBean;
import io.micatide.controller.NettyActorExecutor;
import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Http;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.micatide.simulation.InvariantChecker;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedStore;
import io.micatide.simulation.SimulatedWorker;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * One scale run from its first process to its last. Everything that is hollow lives on one loop, the state service on another, so that it
 * answers while that one is busy. All processes are ended when it is closed.
 */
final class ScaleRun implements AutoCloseable {
    private static final int LOOPS = 2;
    private static final int MOST_CONNECTIONS = 20_000;
    private static final int USER_CONNECTIONS = 64;
    private static final int HEALTHY_SECONDS = 60;
    private static final int LOOK_SECONDS = 1;
    private static final int RESTART_MILLIS = 300;
    private static final int PORTS_PER_CONTROLLER = 4;

    private final ScalePlan plan;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final EventLoop stateLoop = group.next();
    private final NettyActorExecutor loop = new NettyActorExecutor(eventLoop);
    private final List<Settings> settings = new ArrayList<>();
    private final List<Traffic> traffic = new ArrayList<>();
    private final List<ControllerProcess> processes = new ArrayList<>();
    private final Path folder;
    private InvariantChecker checker;
    private ScaleUsers users;
    private HollowWorkers workers;
    private SimulatedStore state;
    private SimulatedCloud cloud;
    private int leasesEnded;

    /** What the hollow workers do, told to the checker and to the users that wait for it. */
    private final class Witness implements SimulatedWorker.Witness {
        @Override
        public void taskStarted(String task, long attempt, String machine) {
            checker.taskStarted(task, attempt, machine);
            users.started(task);
        }

        @Override
        public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
            checker.taskEnded(task, attempt, machine, cause);
            if (cause == ExitCause.DONE) {
                users.done(task);
            }
        }

        @Override
        public void startAccepted(JobSpec spec, String task, long attempt, SimulatedCloud.RentedMachine machine) {
            checker.startAccepted(spec, task, attempt, machine);
        }

        @Override
        public void resourcesReleased(String task, long attempt, SimulatedCloud.RentedMachine machine) {
            checker.resourcesReleased(task, attempt, machine);
        }

        @Override
        public void leaseExpired(SimulatedCloud.RentedMachine machine) {
            leasesEnded++;
        }
    }

    /** What all have used up to a moment; the difference of two is what is told. */
    private record Reading(
            long nanos,
            long ownNanos,
            List<ControllerProcess.Sample> samples,
            List<Map<Traffic.Kind, Traffic.Sum>> sums,
            List<Long> accepted,
            int starts,
            long changes) {}

    /** @param command a controller's command up to its tuning and settings files */
    ScaleRun(ScalePlan plan, List<String> command) throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = Files.createTempDirectory("micatide-scale");
        List<Integer> free = FreePorts.find(PORTS_PER_CONTROLLER * plan.controllers() + 1);
        List<ScaleSettings.Ports> ports = new ArrayList<>();
        for (int i = 0; i < plan.controllers(); i++) {
            int at = PORTS_PER_CONTROLLER * i;
            ports.add(new ScaleSettings.Ports(free.get(at), free.get(at + 1), free.get(at + 2), free.get(at + 3)));
            traffic.add(new Traffic());
        }
        ScaleSettings files = new ScaleSettings(plan, ports);
        Path tuning = Files.writeString(folder.resolve("tuning.toml"), ScaleSettings.tuning());
        for (int i = 0; i < plan.controllers(); i++) {
            settings.add(files.parsed(i));
            Path file = Files.writeString(folder.resolve(ScaleSettings.label(i) + ".toml"), files.file(i));
            List<String> line = new ArrayList<>(command);
            line.addAll(List.of("--tuning", tuning.toString(), "--config", file.toString()));
            processes.add(new ControllerProcess(line, log(i)));
        }
        listen(ports, free.get(free.size() - 1));
    }

    private File log(int controller) {
        return folder.resolve(ScaleSettings.label(controller) + ".log").toFile();
    }

    private void listen(List<ScaleSettings.Ports> ports, int commandPort) throws InterruptedException {
        state = new SimulatedStore(new NettyActorExecutor(stateLoop), ScaleSettings.STATE);
        MachineType type = ScaleSettings.machineType();
        checker = new InvariantChecker(
                loop::now,
                settings.get(0).cancellationLimitMicros(),
                settings.get(0).teams());
        List<Http> forUsers = new ArrayList<>();
        for (int i = 0; i < plan.controllers(); i++) {
            HttpClient client = new HttpClient(eventLoop, settings.get(i).bind(), USER_CONNECTIONS);
            forUsers.add(
                    new CountedHttp(client, loop, traffic.get(i), Traffic.Kind.USER, Traffic.histogram(), () -> false));
        }
        Witness witness = new Witness();
        cloud = new SimulatedCloud(
                loop, List.of(type), plan.workers(), machine -> workers.up(machine), machine -> workers.gone(machine));
        onLoop(() -> {
            users = new ScaleUsers(loop, plan, forUsers, checker, (id, body) -> {});
            workers = new HollowWorkers(eventLoop, loop, commandPort, settings, traffic, users::described, witness);
            return null;
        });
        for (int i = 0; i < ports.size(); i++) {
            Traffic counted = traffic.get(i);
            new HttpServer(
                            request -> state.handle(new CountedRequest(request, counted, Traffic.Kind.STATE)),
                            MOST_CONNECTIONS)
                    .bind(stateLoop, ScaleSettings.local(ports.get(i).state()))
                    .sync();
            new HttpServer(
                            request -> cloud.handle(new CountedRequest(request, counted, Traffic.Kind.CLOUD)),
                            MOST_CONNECTIONS)
                    .bind(eventLoop, ScaleSettings.local(ports.get(i).cloud()))
                    .sync();
        }
    }

    private <T> T onLoop(Callable<T> what) throws InterruptedException {
        try {
            return eventLoop.submit(what).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Plays the plan; takes its warm-up and its measured time. */
    ScaleResult play() throws IOException, InterruptedException {
        for (ControllerProcess process : processes) {
            process.start();
        }
        awaitHealthy();
        onLoop(() -> {
            List<String> zones = ScaleSettings.zones();
            for (int i = 0; i < plan.workers(); i++) {
                cloud.addUnrentedMachine(ScaleSettings.machineType(), zones.get(i % zones.size()), false);
            }
            return null;
        });
        look();
        TimeUnit.SECONDS.sleep(ScaleSettings.SETTLE_SECONDS);
        onLoop(() -> {
            users.begin();
            return null;
        });
        TimeUnit.SECONDS.sleep(plan.warmUpSeconds() - ScaleSettings.SETTLE_SECONDS);
        Reading before = read();
        onLoop(() -> {
            users.measure(true);
            workers.latency().reset();
            return null;
        });
        int half = plan.seconds() / 2;
        TimeUnit.SECONDS.sleep(half);
        int leader = leader(before, read());
        fail(leader);
        TimeUnit.SECONDS.sleep(plan.seconds() - half);
        Reading after = read();
        return onLoop(() -> {
            users.measure(false);
            users.end();
            checker.check();
            return result(before, after);
        });
    }

    private void awaitHealthy() throws IOException, InterruptedException {
        for (int tries = 0; tries < HEALTHY_SECONDS * 10; tries++) {
            if (onLoop(users::healthyControllers) == plan.controllers()) {
                return;
            }
            for (int i = 0; i < processes.size(); i++) {
                if (!processes.get(i).alive()) {
                    throw new IOException(ScaleSettings.label(i) + " ended: "
                            + Files.readString(log(i).toPath()).strip());
                }
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IOException("not all controllers were healthy within " + HEALTHY_SECONDS + " s");
    }

    private void look() {
        loop.executeLater(
                () -> {
                    checker.check();
                    look();
                },
                LOOK_SECONDS * Micros.SECOND);
    }

    // ---- what fails

    private void fail(int leader) throws IOException, InterruptedException {
        switch (plan.fault()) {
            case NONE -> {}
            case LEADER -> restart(List.of(leader));
            case ALL -> restart(IntStream.range(0, processes.size()).boxed().toList());
            case ZONE ->
                onLoop(() -> {
                    workers.silence(ScaleSettings.zones().get(0));
                    loop.executeLater(
                            () -> workers.silence(null), 2 * settings.get(0).workerLeaseMicros());
                    return null;
                });
        }
    }

    private void restart(List<Integer> which) throws IOException, InterruptedException {
        for (int number : which) {
            processes.get(number).kill();
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
        for (int number : which) {
            processes.get(number).start();
        }
    }

    // ---- what is measured

    private Reading read() throws InterruptedException {
        List<ControllerProcess.Sample> samples =
                processes.stream().map(ControllerProcess::sample).toList();
        List<Map<Traffic.Kind, Traffic.Sum>> sums = new ArrayList<>();
        for (Traffic each : traffic) {
            Map<Traffic.Kind, Traffic.Sum> kinds = new EnumMap<>(Traffic.Kind.class);
            for (Traffic.Kind kind : Traffic.Kind.values()) {
                kinds.put(kind, each.sum(kind));
            }
            sums.add(kinds);
        }
        return new Reading(
                System.nanoTime(),
                ownProcessorNanos(),
                samples,
                sums,
                traffic.stream().map(Traffic::acceptedHeartbeats).toList(),
                onLoop(checker::starts),
                stateChanges());
    }

    private long stateChanges() throws InterruptedException {
        try {
            return stateLoop.submit(state::changeCount).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private static long ownProcessorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private int leader(Reading before, Reading after) {
        int leader = 0;
        for (int i = 1; i < processes.size(); i++) {
            if (after.accepted().get(i) - before.accepted().get(i)
                    > after.accepted().get(leader) - before.accepted().get(leader)) {
                leader = i;
            }
        }
        return leader;
    }

    private ScaleResult result(Reading before, Reading after) {
        double seconds = (after.nanos() - before.nanos()) / 1e9;
        List<ScaleResult.Controller> controllers = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) {
            controllers.add(controller(i, before, after, seconds));
        }
        Map<String, Histogram> latencies = new LinkedHashMap<>();
        latencies.put("heartbeat to answer", workers.latency());
        latencies.put("submission to acceptance", users.accepting());
        latencies.put("submission to first start, urgent", users.urgentStart());
        latencies.put("last task done to user told", users.told());
        return new ScaleResult(
                plan,
                leader(before, after),
                seconds,
                (after.ownNanos() - before.ownNanos()) / 1e9 / seconds,
                controllers,
                workers.size(),
                after.starts() - before.starts(),
                after.changes() - before.changes(),
                checker.running(),
                users.submitted(),
                users.open(),
                users.refused(),
                leasesEnded,
                checker.violations(),
                latencies);
    }

    private static ScaleResult.Controller controller(int number, Reading before, Reading after, double seconds) {
        ControllerProcess.Sample from = before.samples().get(number);
        ControllerProcess.Sample to = after.samples().get(number);
        Map<Traffic.Kind, ScaleResult.Rate> kinds = new EnumMap<>(Traffic.Kind.class);
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            Traffic.Sum sum = after.sums()
                    .get(number)
                    .get(kind)
                    .minus(before.sums().get(number).get(kind));
            kinds.put(kind, new ScaleResult.Rate(sum.messages() / seconds, sum.bytes() / seconds));
        }
        return new ScaleResult.Controller(
                (to.processorSeconds() - from.processorSeconds()) / seconds,
                to.residentMb(),
                to.sockets(),
                (to.bytes() - from.bytes()) / seconds,
                kinds);
    }

    /** Ends all processes and loops; what the controllers logged goes as well. */
    @Override
    public void close() {
        for (ControllerProcess process : processes) {
            try {
                process.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        File[] files = folder.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
