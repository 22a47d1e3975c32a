package review2;

import io.micatide.controller.NettyActorExecutor;
import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Settings;
import io.micatide.net.Http;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.SettingsReader;
import io.micatide.simulation.GangRendezvous;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedStore;
import io.micatide.simulation.SimulatedWorker;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: real controller processes, started with the command of deploy/service.toml, beside the project's own
 * stand-ins of state service, cloud and workers, which live in this process. Writes what happens to record.txt.
 */
public final class World implements AutoCloseable {
    /** What differs from one deployment to another; the defaults are those of the site corrmhor-live. */
    public static class Plan {
        public int controllers = 3;
        public List<String> zones = List.of("dublin-north", "cork-quay", "galway-west");
        public double reportS = 0.8;
        public double leaseS = 10;
        public double gangWaitS = 30;
        public double gangPeerS = 5;
        public double cancelS = 30;
        public double rps = 80;
        public double writeRps = 30;
        public double valueKb = 16;
        public int txnOps = 16;
        public double cloudRps = 8;
        public double listLagS = 10;
        public double cores = 0.425;
        public double memoryMb = 148;
        public int maxConnections = 700;
        public String teams = "[[deployment.teams]]\nname = \"feed-desk\"\n";
        public List<MachineType> types = List.of();
        /** Machines that the cloud has. */
        public int machines = 40;
    }

    /** An answer to a user; status 0 if there was none. */
    public record Answer(int status, String body) {
        public String standing() {
            int at = body.indexOf("\"standing\":\"");
            return at < 0 ? "" : body.substring(at + 12, body.indexOf('"', at + 12));
        }
    }

    private static final int FIRST_PORT = 12_000;
    public final Plan plan;
    public final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long beganNanos = System.nanoTime();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    public final EventLoop workerLoop = group.next();
    public final EventLoop stateLoop = group.next();
    public final EventLoop cloudLoop = group.next();
    public final NettyActorExecutor workerTime = new NettyActorExecutor(workerLoop);
    public SimulatedStore store;
    public SimulatedCloud cloud;
    public final List<Settings> settings = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final Process[] processes;
    private final List<Process> children = new CopyOnWriteArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Map<String, SimulatedWorker> workers = new ConcurrentHashMap<>();
    private final Map<String, Channel> listeners = new ConcurrentHashMap<>();
    private final Map<String, JobSpec> specs = new ConcurrentHashMap<>();
    private GangRendezvous gangs;
    private final AtomicInteger malformedReports = new AtomicInteger();
    /** When the machines last sent a report, by their names. */
    private final Map<String, Double> lastReports = new ConcurrentHashMap<>();
    /** When the cloud takes machines back, by their names. */
    private final Map<String, Double> recalls = new ConcurrentHashMap<>();
    private volatile BiConsumer<SimulatedCloud.RentedMachine, String> answeredReports = (machine, answer) -> {};
    private int lastAddress;
    private final java.net.http.HttpClient users = java.net.http.HttpClient.newBuilder()
            .version(java.net.http.HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private SimulatedWorker.Witness witness;

    public World(Plan plan, Path recordFile, SimulatedWorker.Witness witness) throws Exception {
        this.plan = plan;
        this.witness = witness;
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        this.folder = Files.createTempDirectory("review2-");
        this.processes = new Process[plan.controllers];
        freePorts(2 * plan.controllers + 3);
        for (int i = 0; i < plan.controllers; i++) {
            String text = settingsOf(i);
            settings.add(SettingsReader.parse(text));
            files.add(Files.writeString(folder.resolve(label(i) + ".toml"), text));
        }
        gangs = new GangRendezvous(workerTime, settings.get(0));
        store = new SimulatedStore(
                new NettyActorExecutor(stateLoop),
                new SimulatedStore.Limits(plan.rps, plan.writeRps, (int) (plan.valueKb * 1024), plan.txnOps));
        cloud = new SimulatedCloud(workerTime, plan.types, plan.machines, this::up, this::gone);
        new HttpServer(this::toStore, 20_000).bind(stateLoop, local(statePort())).sync();
        new HttpServer(this::toCloud, 20_000).bind(workerLoop, local(cloudPort())).sync();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** For cases that look at what reaches the state service. */
    protected void toStore(Request request) {
        store.handle(request);
    }

    protected void toCloud(Request request) {
        cloud.handle(request);
    }

    // ---- settings

    public static String label(int i) {
        return "berth-" + i;
    }

    public static String local(int port) {
        return "127.0.0.1:" + port;
    }

    private int statePort() {
        return ports.get(2 * plan.controllers);
    }

    private int cloudPort() {
        return ports.get(2 * plan.controllers + 1);
    }

    public String endpoint(int controller) {
        return local(ports.get(2 * controller));
    }

    private void freePorts(int count) throws IOException {
        int first = FIRST_PORT + (int) (ProcessHandle.current().pid() % 90) * 100;
        for (int port = first; ports.size() < count && port < first + 4_000; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                // Somebody else's.
            }
        }
        if (ports.size() < count) {
            throw new IOException("not enough free ports");
        }
    }

    private String settingsOf(int i) {
        StringBuilder out = new StringBuilder();
        out.append("label = \"" + label(i) + "\"\nsite = \"" + plan.zones.get(i % plan.zones.size()) + "\"\n");
        out.append("bind = \"" + endpoint(i) + "\"\npeer_bind = \"" + local(ports.get(2 * i + 1)) + "\"\n");
        for (int k = 0; k < plan.controllers; k++) {
            if (k != i) {
                out.append("[[siblings]]\nlabel = \"" + label(k) + "\"\nsite = \""
                        + plan.zones.get(k % plan.zones.size()) + "\"\nendpoint = \"" + local(ports.get(2 * k + 1))
                        + "\"\n");
            }
        }
        out.append("[services]\ncloud = \"" + local(cloudPort()) + "\"\nstate = \"" + local(statePort()) + "\"\n");
        out.append("[deployment]\ncount = " + plan.controllers + "\nzones = [\"" + String.join("\", \"", plan.zones)
                + "\"]\nclock_off_ms = 100.0\n" + plan.teams);
        out.append(String.format(
                Locale.ROOT,
                "[deployment.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
                plan.reportS,
                plan.leaseS,
                plan.gangWaitS,
                plan.gangPeerS,
                plan.cancelS));
        out.append(String.format(
                Locale.ROOT,
                "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
                plan.rps,
                plan.writeRps,
                plan.valueKb,
                plan.txnOps));
        out.append(String.format(
                Locale.ROOT,
                "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n[deployment.limits]\ncores = %.3f\nmemory_mb = %.1f\nmax_connections = %d\n",
                plan.cloudRps,
                plan.listLagS,
                plan.cores,
                plan.memoryMb,
                plan.maxConnections));
        return out.toString();
    }

    public Path settingsFile(int controller) {
        return files.get(controller);
    }

    // ---- controllers

    private List<String> command(int controller) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(run.split(" +")));
                words.add(files.get(controller).toString());
                return words;
            }
        }
        throw new IOException("deploy/service.toml has no line run");
    }

    public void start(int controller) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(controller)).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log(controller)));
        processes[controller] = builder.start();
        note("start " + label(controller) + " pid " + processes[controller].pid());
    }

    public File log(int controller) {
        return folder.resolve(label(controller) + ".log").toFile();
    }

    public boolean alive(int controller) {
        return processes[controller] != null && processes[controller].isAlive();
    }

    public long pid(int controller) {
        return processes[controller].pid();
    }

    /** Ends it as the platform does, without a signal that it could catch. */
    public void kill(int controller) throws InterruptedException {
        note("kill " + label(controller));
        processes[controller].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    public int exitCode(int controller) {
        return processes[controller].exitValue();
    }

    public void signal(int controller, String name) throws Exception {
        note("signal " + name + " to " + label(controller));
        new ProcessBuilder("kill", "-" + name, String.valueOf(pid(controller))).start().waitFor();
    }

    public void startAll() throws Exception {
        for (int i = 0; i < plan.controllers; i++) {
            start(i);
        }
        for (int tries = 0; tries < 300; tries++) {
            int healthy = 0;
            for (int i = 0; i < plan.controllers; i++) {
                healthy += get(i, "/healthz", 1).status() == 200 ? 1 : 0;
            }
            if (healthy == plan.controllers) {
                note("all controllers are healthy");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("not all controllers became healthy");
    }

    /** A further process that ends with the case. */
    public Process child(Process process) {
        children.add(process);
        return process;
    }

    private void endProcesses() {
        children.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    // ---- machines

    public void addMachine(MachineType type, String zone) {
        workerLoop.execute(() -> cloud.addUnrentedMachine(type, zone, false));
    }

    /** A machine that the cloud may take back. */
    public void addSpotMachine(MachineType type, String zone) {
        workerLoop.execute(() -> cloud.addUnrentedMachine(type, zone, true));
    }

    private void up(SimulatedCloud.RentedMachine machine) {
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < plan.controllers; i++) {
            known.put(label(i), link(machine, i, new HttpClient(workerLoop, settings.get(i).bind(), 1)));
        }
        SimulatedWorker worker = new SimulatedWorker(
                workerTime, settings.get(0), machine, known, id -> specs.get(id), gangs, witness);
        int number = lastAddress++;
        String address = "127.1." + number / 250 + "." + (1 + number % 250) + ":" + ports.get(2 * plan.controllers + 2);
        listeners.put(
                machine.name(), new HttpServer(worker::handle, 20).bind(workerLoop, address).channel());
        worker.setAddress(address);
        workers.put(machine.name(), worker);
        note("up " + machine.name() + " " + machine.type().name() + " " + machine.zone());
        worker.start();
    }

    /** What a worker reaches a controller by. */
    protected Http link(SimulatedCloud.RentedMachine machine, int controller, Http http) {
        return new Http() {
            @Override
            public void get(String path, long timeoutMicros, Consumer<Reply> callback) {
                http.get(path, timeoutMicros, callback);
            }

            @Override
            public void post(String path, byte[] report, long timeoutMicros, Consumer<Reply> callback) {
                Double recall = recalls.get(machine.name());
                byte[] body = recall == null ? report : withRecall(report, recall - seconds());
                lastReports.put(machine.name(), seconds());
                http.post(path, body, timeoutMicros, reply -> {
                    if (reply.ok()) {
                        answeredReports.accept(machine, new String(reply.body(), StandardCharsets.UTF_8));
                    }
                    if (reply.status() == 400 && malformedReports.incrementAndGet() <= 12) {
                        note("report of " + machine.name() + ", " + body.length + " bytes, at " + label(controller)
                                + ": 400 " + new String(reply.body(), StandardCharsets.UTF_8));
                    }
                    callback.accept(reply);
                });
            }

            @Override
            public void delete(String path, long timeoutMicros, Consumer<Reply> callback) {
                http.delete(path, timeoutMicros, callback);
            }

            @Override
            public void close() {
                http.close();
            }
        };
    }

    private static byte[] withRecall(byte[] report, double inSeconds) {
        String text = new String(report, StandardCharsets.UTF_8);
        return String.format(Locale.ROOT, "{\"recallS\":%.1f,%s", Math.max(0, inSeconds), text.substring(1))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Is told the answers of controllers to reports, on the workers' thread. */
    public void onAnswer(BiConsumer<SimulatedCloud.RentedMachine, String> told) {
        answeredReports = told;
    }

    /** The worker reports from now on that the cloud takes its machine back after so many seconds, and then the cloud does. */
    public void takeBack(String machine, double afterSeconds) {
        note("notice: " + machine + " is taken back in " + afterSeconds + " s");
        recalls.put(machine, seconds() + afterSeconds);
        workerTime.executeLater(() -> cloud.handle(deletion(machine)), (long) (afterSeconds * 1e6));
    }

    /** When the machine last sent a report. */
    public double lastReport(String machine) {
        return lastReports.getOrDefault(machine, 0.0);
    }

    /** The cloud takes the machine back without a notice. */
    public void takeBackSilently(String machine) {
        note("taken without a notice: " + machine);
        workerLoop.execute(() -> cloud.handle(deletion(machine)));
    }

    private static Request deletion(String machine) {
        return new Request() {
            @Override
            public String method() {
                return "POST";
            }

            @Override
            public String path() {
                return "/machines/delete";
            }

            @Override
            public byte[] body() {
                return ("{\"berths\":[\"" + machine + "\"]}").getBytes(StandardCharsets.UTF_8);
            }

            @Override
            public void answer(int status, byte[] json, int retryAfterSeconds) {}

            @Override
            public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {}
        };
    }

    /** How many reports of workers were answered 400. */
    public int malformedReports() {
        return malformedReports.get();
    }

    private void gone(String machine) {
        SimulatedWorker worker = workers.remove(machine);
        if (worker != null) {
            note("gone " + machine);
            worker.delete();
            listeners.remove(machine).close();
        }
    }

    public int workers() {
        return workers.size();
    }

    // ---- users

    /** Users upload the description of a job for the workers. */
    public void upload(String id, String body) {
        try {
            specs.put(
                    id, CloudSideCodec.jobSpec(("{\"spec\":" + body + "}").getBytes(StandardCharsets.UTF_8)));
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static String job(
            String id, String crew, String form, String rank, int legs, double cpus, double memGb, double runtimeS) {
        return String.format(
                Locale.ROOT,
                "{\"nameId\":\"%s\",\"roster\":\"class-%s\",\"crew\":\"%s\",\"form\":\"%s\",\"rank\":\"%s\",\"legs\":%d,"
                        + "\"cpus\":%s,\"cards\":0.0,\"memGb\":%s,\"kit\":\"img-1\",\"sizeGb\":0.5,\"builds\":null,\"ground\":null,"
                        + "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"runtimeS\":%s,\"halftimeS\":0.0,\"stowS\":0.0,"
                        + "\"whistleS\":null}",
                id, form, crew, form, rank, legs, cpus, memGb, runtimeS);
    }

    public Answer get(int controller, String path, int timeoutS) {
        return send(HttpRequest.newBuilder(URI.create("http://" + endpoint(controller) + path)).GET(), timeoutS);
    }

    public Answer post(int controller, String path, String body, int timeoutS) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + endpoint(controller) + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body)),
                timeoutS);
    }

    private Answer send(HttpRequest.Builder request, int timeoutS) {
        try {
            HttpResponse<String> response = users.send(
                    request.timeout(Duration.ofSeconds(timeoutS)).build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, "");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "");
        }
    }

    /** Whether the state service has the key. */
    public boolean stored(String key) {
        return send(HttpRequest.newBuilder(URI.create("http://" + local(statePort()) + "/store/" + key)).GET(), 1)
                        .status()
                == 200;
    }

    /** Submits as the protocol has it: repeated after 1 s, for up to 60 s, at another node each time. */
    public Answer submit(String id, String body, int first) throws InterruptedException {
        upload(id, body);
        Answer answer = new Answer(0, "");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        for (int tries = 0; System.nanoTime() < until; tries++) {
            int node = (first + tries) % plan.controllers;
            answer = post(node, "/v1/jobs", body, 5);
            note("submit " + id + " at " + label(node) + ": " + answer.status() + " " + answer.body());
            if (answer.status() == 201 || answer.status() == 200 || answer.status() == 400 || answer.status() == 422) {
                return answer;
            }
            TimeUnit.SECONDS.sleep(1);
        }
        return answer;
    }

    // ---- the record

    public double seconds() {
        return (System.nanoTime() - beganNanos) / 1e9;
    }

    public void note(String what) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), what));
        }
    }

    /** Copies the controllers' log lines that contain one of the words into the record. */
    public void noteLogs(String... words) throws IOException {
        for (int i = 0; i < plan.controllers; i++) {
            int lines = 0;
            if (!log(i).exists()) {
                continue;
            }
            for (String line : Files.readAllLines(log(i).toPath(), StandardCharsets.ISO_8859_1)) {
                for (String word : words) {
                    if (line.contains(word) && lines++ < 12) {
                        note(label(i) + " logs: " + line);
                        break;
                    }
                }
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> all = Files.list(folder)) {
                for (Path each : all.toList()) {
                    Files.delete(each);
                }
                Files.delete(folder);
            } catch (IOException e) {
                // Left to the system.
            }
        } else {
            System.err.println("logs in " + folder);
        }
        record.close();
    }
}
