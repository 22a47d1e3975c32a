package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A machine with its worker: reports to one controller at a time, runs tasks, and keeps its lease, as the protocol says. */
final class Machine {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int RESPONSE_TIMEOUT_MILLIS = 4_000;

    /** One attempt of a task on this machine. */
    private static final class Task {
        final JsonNode job;
        final String leg;
        final long attempt;
        String state;
        String cause;
        long startedMicros;
        long endsMicros;
        boolean fails;

        Task(JsonNode job, String leg, long attempt) {
            this.job = job;
            this.leg = leg;
            this.attempt = attempt;
        }

        boolean isOn() {
            return !state.equals("exited");
        }
    }

    final String name;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    final int commandPort;
    private final Deployment deployment;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final Map<String, Long> images = new HashMap<>();
    private final long rentedNanos = System.nanoTime();
    private long session = 1;
    private long sequence;
    private long token;
    private long leaseFromNanos;
    private boolean changed;
    /** While true, the machine hangs: nothing runs and nothing is sent; the lease runs on. */
    volatile boolean hangs;
    /** While true, the machine reaches no controller and none reaches it; its tasks run on. */
    volatile boolean cut;
    private volatile boolean up;
    private volatile boolean ended;
    /** What this worker has met, for the checks of a case. */
    int leasesExpired;
    int tasksKilledByLease;
    int reportsRefused;
    int largestReportBytes;
    int largestResponseBytes;

    Machine(Deployment deployment, String name, Cloud.Type type, String zone, boolean spot) throws IOException {
        this.deployment = deployment;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.random = new Random(name.hashCode());
        this.commandPort = HttpEndpoint.serve(this::command);
    }

    void start() {
        up = true;
        leaseFromNanos = System.nanoTime();
        HttpEndpoint.daemon(this::reportLoop);
        HttpEndpoint.daemon(() -> {
            while (!ended) {
                Thread.sleep(20);
                advance();
            }
        });
    }

    boolean isUp() {
        return up;
    }

    double ageSeconds() {
        return (System.nanoTime() - rentedNanos) / 1e9;
    }

    /** Ends the machine with everything on it. */
    synchronized void end() {
        ended = true;
        up = false;
        for (Task task : tasks.values()) {
            if (task.isOn()) {
                deployment.taskEnded(task.leg, name, task.attempt, "machine gone");
            }
        }
        tasks.clear();
    }

    /** Lets time pass: images arrive, tasks complete, the lease expires. */
    private synchronized void advance() {
        if (ended) {
            return;
        }
        long now = System.nanoTime() / 1000;
        if (System.nanoTime() - leaseFromNanos > deployment.leaseS * 1e9) {
            leasesExpired++;
            int killed = 0;
            for (Task task : tasks.values()) {
                if (task.isOn()) {
                    killed++;
                    deployment.taskEnded(task.leg, name, task.attempt, "lease expired");
                }
            }
            tasksKilledByLease += killed;
            deployment.record(name + ": lease expired, " + killed + " tasks killed, session " + (session + 1));
            tasks.clear();
            session++;
            leaseFromNanos = System.nanoTime();
            changed = true;
            return;
        }
        if (hangs) {
            return;
        }
        for (Task task : tasks.values()) {
            if (task.state.equals("pulling") && images.getOrDefault(task.job.path("kit").asText(), Long.MAX_VALUE) <= now) {
                if (completed.contains(task.leg)) {
                    exit(task, "done");
                } else {
                    task.state = "running";
                    task.startedMicros = now;
                    double runtime = task.job.path("form").asText().equals("daemon")
                            ? 1e9
                            : deployment.runtimeSeconds(task.job);
                    task.fails = deployment.takeFailure(task.leg);
                    task.endsMicros = now + (long) ((task.fails ? 1 : runtime) * 1e6);
                    deployment.taskOnMachine(task.leg, name, task.attempt);
                    changed = true;
                }
            } else if (task.state.equals("running") && now >= task.endsMicros && task.fails) {
                deployment.record(name + ": " + task.leg + " failed with error");
                exit(task, "error");
            } else if (task.state.equals("running") && now >= task.endsMicros) {
                completed.add(task.leg);
                deployment.taskCompleted(task.leg, name);
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String cause) {
        if (task.state.equals("running")) {
            deployment.taskEnded(task.leg, name, task.attempt, cause);
        }
        task.state = "exited";
        task.cause = cause;
        changed = true;
    }

    // ---- reports

    private void reportLoop() throws InterruptedException {
        int node = random.nextInt(deployment.controllers());
        HttpEndpoint.Client client = new HttpEndpoint.Client(deployment.userPort(node));
        long lastSent = 0;
        while (!ended) {
            long interval = (long) (deployment.reportS * 1000 * (0.75 + random.nextDouble() / 2));
            while (!ended && System.currentTimeMillis() - lastSent < interval
                    && !(changed && System.currentTimeMillis() - lastSent >= 500)) {
                Thread.sleep(20);
            }
            if (ended) {
                return;
            }
            if (hangs || cut) {
                Thread.sleep(50);
                continue;
            }
            String body;
            long sentSession;
            long sentNanos;
            synchronized (this) {
                changed = false;
                body = report();
                sentSession = session;
                sentNanos = System.nanoTime();
            }
            largestReportBytes = Math.max(largestReportBytes, body.length());
            lastSent = System.currentTimeMillis();
            HttpEndpoint.Message answer = client.send("POST", "/v1/report", body, RESPONSE_TIMEOUT_MILLIS);
            while (hangs) {
                Thread.sleep(20);
            }
            int status = answer == null || cut || System.nanoTime() - sentNanos > 4_000_000_000L ? 0 : answer.status();
            if (status == 200) {
                largestResponseBytes = Math.max(largestResponseBytes, answer.body().length);
                apply(answer.text(), sentSession, sentNanos);
                continue;
            }
            int next = (node + 1) % deployment.controllers();
            long pause = 1000;
            if (status == 421) {
                int named = deployment.indexOf(parse(answer.text()).path("steward").asText(""));
                if (named >= 0 && named != node) {
                    next = named;
                    pause = 50;
                }
            } else if (status != 0) {
                reportsRefused++;
                deployment.record(name + ": report of " + body.length() + " bytes refused by controller " + node
                        + " with " + status + " " + answer.text());
            }
            client.close();
            Thread.sleep(pause);
            node = next;
            client = new HttpEndpoint.Client(deployment.userPort(node));
            lastSent = 0;
        }
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }

    private synchronized String report() {
        ObjectNode report = JSON.createObjectNode();
        report.put("berth", name);
        report.put("addr", "127.0.0.1:" + commandPort);
        report.put("build", type.name());
        report.put("ground", zone);
        report.put("loaners", spot);
        report.put("stint", session);
        report.put("tally", ++sequence);
        report.put("armband", token);
        report.putNull("recallS");
        ArrayNode legs = report.putArray("legs");
        for (Task task : tasks.values()) {
            ObjectNode leg = legs.addObject();
            leg.put("leg", task.leg);
            leg.put("throwIn", task.attempt);
            leg.put("standing", task.state);
            if (task.cause != null) {
                leg.put("cause", task.cause);
            }
        }
        return report.toString();
    }

    private synchronized void apply(String text, long sentSession, long sentNanos) {
        JsonNode answer = parse(text);
        long answerToken = answer.path("armband").asLong(-1);
        if (ended || sentSession != session || answerToken < token) {
            return;
        }
        if (answerToken > token) {
            token = answerToken;
            changed = true;
        }
        leaseFromNanos = sentNanos;
        execute(answer.path("calls"));
    }

    private HttpEndpoint.Answer command(HttpEndpoint.Message request) throws InterruptedException {
        while (hangs) {
            Thread.sleep(20);
        }
        return cut ? null : answerCommand(request);
    }

    private synchronized HttpEndpoint.Answer answerCommand(HttpEndpoint.Message request) {
        if (ended || !up) {
            return null;
        }
        if (request.path().equals("/show")) {
            return HttpEndpoint.Answer.json(200, report());
        }
        JsonNode body = parse(request.text());
        if (!body.has("armband") || !body.has("stint")) {
            return HttpEndpoint.Answer.json(400, "{}");
        }
        if (body.path("armband").asLong() < token || body.path("stint").asLong() != session) {
            return HttpEndpoint.Answer.json(409, report());
        }
        if (body.path("armband").asLong() > token) {
            token = body.path("armband").asLong();
            changed = true;
        }
        execute(body.path("calls"));
        return HttpEndpoint.Answer.json(200, report());
    }

    private void execute(JsonNode calls) {
        for (JsonNode call : calls) {
            String leg = call.path("leg").asText();
            long attempt = call.path("throwIn").asLong();
            String key = leg + "@" + attempt;
            Task task = tasks.get(key);
            switch (call.path("call").asText()) {
                case "start" -> {
                    if (task == null) {
                        start(leg, attempt, key);
                    }
                }
                case "halt" -> {
                    if (task != null && task.isOn()) {
                        exit(task, "halted");
                    }
                }
                default -> {
                    if (task != null && !task.isOn()) {
                        tasks.remove(key);
                    }
                }
            }
        }
    }

    private void start(String leg, long attempt, String key) {
        JsonNode job = deployment.job(leg.substring(0, leg.lastIndexOf('/')));
        Task task = new Task(job, leg, attempt);
        task.state = "pulling";
        String refusal = refusal(task);
        tasks.put(key, task);
        changed = true;
        if (refusal != null) {
            task.state = "exited";
            task.cause = refusal;
            return;
        }
        deployment.taskStarted(leg, name, attempt);
        long now = System.nanoTime() / 1000;
        images.putIfAbsent(job.path("kit").asText(), now + (long) (job.path("sizeGb").asDouble() * 1e6));
    }

    /** Returns why the worker refuses a start, or null. */
    private String refusal(Task wanted) {
        if (wanted.job == null) {
            return "unknown";
        }
        double cpus = wanted.job.path("cpus").asDouble();
        double memory = wanted.job.path("memGb").asDouble();
        for (Task task : tasks.values()) {
            if (task.isOn()) {
                if (task.leg.equals(wanted.leg)) {
                    return "in_use";
                }
                cpus += task.job.path("cpus").asDouble();
                memory += task.job.path("memGb").asDouble();
            }
        }
        return cpus > type.cpus() + 1e-6 || memory > type.memoryGb() + 1e-6 ? "no_room" : null;
    }

    /** Returns the CPUs that no task uses. */
    synchronized double freeCpus() {
        double free = type.cpus();
        for (Task task : tasks.values()) {
            free -= task.isOn() ? task.job.path("cpus").asDouble() : 0;
        }
        return free;
    }

    /** Returns the tasks that have their image and have not exited. */
    synchronized List<String> legsRunning() {
        List<String> legs = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.state.equals("running")) {
                legs.add(task.leg);
            }
        }
        return legs;
    }

    synchronized List<String> legsOn() {
        List<String> legs = new ArrayList<>();
        for (Iterator<Task> all = tasks.values().iterator(); all.hasNext(); ) {
            Task task = all.next();
            if (task.isOn()) {
                legs.add(task.leg);
            }
        }
        return legs;
    }
}
