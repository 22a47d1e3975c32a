package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: controllers as processes of their own, started with the command of the deploy file, and stand-ins of
 * everything else. Keeps the record of what was sent, answered and run, and of rules that the workers saw broken.
 */
final class Deployment implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<Integer> userPorts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<List<ServerSocket>> reservations = new ArrayList<>();
    final List<StateService.Front> fronts = new ArrayList<>();
    private final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
    /** Machines on which each task is, as the workers see it. */
    private final Map<String, Set<String>> machinesOfTask = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> completedTasks = new ConcurrentHashMap<>();
    final List<String> violations = new ArrayList<>();
    final List<Integer> ownExits = new ArrayList<>();
    private final Set<Process> ended = new HashSet<>();
    final double reportS;
    final double leaseS;
    private final String settings;
    final StateService state;
    Cloud cloud;

    /**
     * @param record file of the record
     * @param controllers number of controllers
     * @param settings the part of the settings files that all controllers share, from [deployment] on
     */
    Deployment(Path record, int controllers, String settings, StateService state) throws IOException {
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        this.folder = Files.createTempDirectory("review");
        this.settings = settings;
        this.state = state;
        this.reportS = number("report_s");
        this.leaseS = number("lease_s");
        for (int i = 0; i < controllers; i++) {
            processes.add(null);
            reservations.add(new ArrayList<>());
            userPorts.add(reservePort(i));
            peerPorts.add(reservePort(i));
            fronts.add(state.new Front());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private double number(String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = ([0-9.]+)").matcher(settings);
        if (!matcher.find()) {
            throw new IllegalStateException(name);
        }
        return Double.parseDouble(matcher.group(1));
    }

    /**
     * Reserves a free port below those that the system gives to outgoing connections. The reservation ends when the controller is started,
     * so that nothing else takes the port before.
     */
    private int reservePort(int controller) throws IOException {
        for (int attempt = 0; ; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            try {
                reservations.get(controller).add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                return port;
            } catch (IOException e) {
                if (attempt == 100) {
                    throw e;
                }
            }
        }
    }

    int controllers() {
        return processes.size();
    }

    int userPort(int controller) {
        return userPorts.get(controller);
    }

    int peerPort(int controller) {
        return peerPorts.get(controller);
    }

    static String label(int controller) {
        return "berth-" + controller;
    }

    int indexOf(String label) {
        for (int i = 0; i < controllers(); i++) {
            if (label(i).equals(label)) {
                return i;
            }
        }
        return -1;
    }

    double seconds() {
        return (System.nanoTime() - startedNanos) / 1e9;
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%7.2f %s", seconds(), line));
    }

    synchronized void violation(String line) {
        violations.add(line);
        record("VIOLATION " + line);
    }

    // ---- controllers

    void startController(int controller) throws IOException {
        StringBuilder out = new StringBuilder();
        String[] zones = zones();
        out.append("label = \"" + label(controller) + "\"\n");
        out.append("site = \"" + zones[controller % zones.length] + "\"\n");
        out.append("bind = \"127.0.0.1:" + userPorts.get(controller) + "\"\n");
        out.append("peer_bind = \"127.0.0.1:" + peerPorts.get(controller) + "\"\n");
        for (int i = 0; i < controllers(); i++) {
            if (i != controller) {
                out.append("[[siblings]]\nlabel = \"" + label(i) + "\"\nsite = \"" + zones[i % zones.length]
                        + "\"\nendpoint = \"127.0.0.1:" + peerPorts.get(i) + "\"\n");
            }
        }
        out.append("[services]\ncloud = \"127.0.0.1:" + cloud.port + "\"\nstate = \"127.0.0.1:"
                + fronts.get(controller).port + "\"\n");
        out.append(settings);
        Path file = folder.resolve(label(controller) + ".toml");
        Files.writeString(file, out);
        List<String> command = new ArrayList<>(List.of(runCommand().split(" ")));
        command.add(file.toString());
        File log = folder.resolve(label(controller) + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log)).redirectError(ProcessBuilder.Redirect.appendTo(log));
        for (ServerSocket reservation : reservations.get(controller)) {
            reservation.close();
        }
        Process process = builder.start();
        processes.set(controller, process);
        record(label(controller) + ": started as process " + process.pid());
        process.onExit().thenAccept(exited -> {
            synchronized (this) {
                if (!ended.contains(exited)) {
                    ownExits.add(controller);
                    record(label(controller) + ": ended by itself with code " + exited.exitValue());
                }
            }
        });
    }

    String[] zones() {
        Matcher matcher = Pattern.compile("(?m)^zones = \\[(.*)]").matcher(settings);
        matcher.find();
        return matcher.group(1).replace("\"", "").split(", ");
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/service.toml has no run command");
    }

    void kill(int controller) throws InterruptedException {
        Process process = processes.get(controller);
        if (process == null) {
            return;
        }
        synchronized (this) {
            ended.add(process);
        }
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        record(label(controller) + ": killed");
    }

    boolean isAlive(int controller) {
        return processes.get(controller) != null && processes.get(controller).isAlive();
    }

    void signal(int controller, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(controller).pid())).start().waitFor();
        record(label(controller) + ": " + signal);
    }

    /** Waits until all given controllers answer their health check. */
    void awaitHealthy(int timeoutSeconds) throws InterruptedException, IOException {
        double deadline = seconds() + timeoutSeconds;
        for (int i = 0; i < controllers(); i++) {
            HttpEndpoint.Client client = new HttpEndpoint.Client(userPort(i));
            while (true) {
                HttpEndpoint.Message answer = client.send("GET", "/healthz", null, 1000);
                if (answer != null && answer.status() == 200) {
                    break;
                }
                if (seconds() > deadline) {
                    throw new IOException(label(i) + " is not healthy in time");
                }
                Thread.sleep(100);
            }
            client.close();
        }
        record("all controllers are healthy");
    }

    /** Returns the index of the controller that the leader record names, or -1. */
    int leader() {
        JsonNode leader = state.read("leader");
        return leader == null ? -1 : indexOf(leader.path("owner").asText());
    }

    // ---- users

    static ObjectNode spec(String id, String form, int legs, double cpus, double runtimeS) {
        ObjectNode spec = JSON.createObjectNode();
        spec.put("nameId", id);
        spec.put("roster", "work");
        spec.put("crew", "feed-desk");
        spec.put("form", form);
        spec.put("rank", "normal");
        spec.put("legs", legs);
        spec.put("cpus", cpus);
        spec.put("cards", 0.0);
        spec.put("memGb", 0.1);
        spec.put("kit", "img-1");
        spec.put("sizeGb", 0.2);
        spec.putNull("builds");
        spec.putNull("ground");
        spec.put("samePlace", false);
        spec.put("scatter", false);
        spec.put("loaners", true);
        spec.put("runtimeS", runtimeS);
        spec.put("halftimeS", 0.0);
        spec.put("stowS", 0.0);
        spec.putNull("whistleS");
        return spec;
    }

    JsonNode job(String id) {
        return jobs.get(id);
    }

    double runtimeSeconds(JsonNode job) {
        return job.path("runtimeS").asDouble();
    }

    /** Submits until the job is accepted or the time is over, at one controller after another; returns the status of the last answer. */
    int submit(ObjectNode spec, int firstController, int forSeconds) throws InterruptedException {
        String id = spec.path("nameId").asText();
        jobs.put(id, spec);
        double deadline = seconds() + forSeconds;
        int status = 0;
        for (int i = 0; i == 0 || seconds() < deadline; i++) {
            int controller = (firstController + i) % controllers();
            HttpEndpoint.Client client = new HttpEndpoint.Client(userPort(controller));
            HttpEndpoint.Message answer = client.send("POST", "/v1/jobs", spec.toString(), 5000);
            client.close();
            status = answer == null ? 0 : answer.status();
            if (status == 201 || status == 200 || status == 400 || status == 422) {
                record("submit " + id + " at " + label(controller) + ": " + status + " " + answer.text());
                return status;
            }
            Thread.sleep(1000);
        }
        record("submit " + id + ": " + status + " as the last answer");
        return status;
    }

    /** Polls once; the answer's `standing`, or the status as text. */
    String poll(int controller, String id) {
        HttpEndpoint.Client client = new HttpEndpoint.Client(userPort(controller));
        HttpEndpoint.Message answer = client.send("GET", "/v1/jobs/" + id, null, 2000);
        client.close();
        if (answer == null) {
            return "no answer";
        }
        try {
            return answer.status() == 200 ? JSON.readTree(answer.body()).path("standing").asText() : "" + answer.status();
        } catch (IOException e) {
            return "malformed";
        }
    }

    /** Polls all controllers in turn until the job is in the state or the time is over; returns the last answer. */
    String awaitStanding(String id, String standing, int forSeconds) throws InterruptedException {
        double deadline = seconds() + forSeconds;
        String last = "";
        for (int i = 0; seconds() < deadline; i++) {
            String answer = poll(i % controllers(), id);
            if (!answer.equals(last)) {
                record("poll " + id + " at " + label(i % controllers()) + ": " + answer);
                last = answer;
            }
            if (answer.equals(standing)) {
                return answer;
            }
            Thread.sleep(500);
        }
        return last;
    }

    // ---- what the workers report to the record

    void taskStarted(String leg, String machine, long attempt) {
        starts.merge(leg.substring(0, leg.lastIndexOf('/')), 1, Integer::sum);
    }

    void taskOnMachine(String leg, String machine, long attempt) {
        Set<String> machines = machinesOfTask.computeIfAbsent(leg, k -> ConcurrentHashMap.newKeySet());
        if (!machines.isEmpty()) {
            violation("ran_twice: " + leg + " starts on " + machine + " while it is on " + machines);
        }
        machines.add(machine);
    }

    void taskEnded(String leg, String machine, long attempt, String cause) {
        Set<String> machines = machinesOfTask.get(leg);
        if (machines != null) {
            machines.remove(machine);
        }
    }

    void taskCompleted(String leg, String machine) {
        completedTasks.computeIfAbsent(leg.substring(0, leg.lastIndexOf('/')), k -> ConcurrentHashMap.newKeySet()).add(leg);
    }

    int completed(String job) {
        return completedTasks.getOrDefault(job, Set.of()).size();
    }

    int completedTasks() {
        return completedTasks.values().stream().mapToInt(Set::size).sum();
    }

    int starts(String job) {
        return starts.getOrDefault(job, 0);
    }

    long running(String job) {
        return machinesOfTask.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(job + "/") && !entry.getValue().isEmpty())
                .count();
    }

    private final Map<String, Integer> failures = new ConcurrentHashMap<>();

    /** Lets the next attempts of a task fail with the cause error. */
    void failNext(String leg, int attempts) {
        failures.put(leg, attempts);
    }

    boolean takeFailure(String leg) {
        int left = failures.getOrDefault(leg, 0);
        failures.computeIfPresent(leg, (k, n) -> n - 1);
        return left > 0;
    }

    boolean hasFailuresLeft(String leg) {
        return failures.getOrDefault(leg, 0) > 0;
    }

    // ---- end

    private synchronized void endProcesses() {
        for (Process process : processes) {
            if (process != null) {
                ended.add(process);
                process.destroyForcibly();
            }
        }
    }

    Path log(int controller) {
        return folder.resolve(label(controller) + ".log");
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                if (process != null) {
                    process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.err.println("logs in " + folder);
        }
        record.close();
    }
}
