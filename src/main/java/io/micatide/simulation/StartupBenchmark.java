package io.micatide.simulation;

import io.micatide.archive.ArchiveLimits;
import io.micatide.archive.ArchiveOperation;
import io.micatide.archive.Archiver;
import io.micatide.archive.DamagedSegmentException;
import io.micatide.archive.SegmentCodec;
import io.micatide.controller.NettyActorExecutor;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.net.HttpServer;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * How long a controller takes to start, what it reads and what it holds, with so many finished jobs in rows or in the archive. A real
 * process with the flags that are given, on one core, against a state service on loopback. Not a test: its figures are this machine's.
 */
public final class StartupBenchmark {
    private static final SimulatedStore.Limits LIMITS = new SimulatedStore.Limits(80, 30, 16 * 1024, 16);
    private static final MachineType TYPE =
            new MachineType("g8", Resources.of(8, 0, 64), 25, 0.3, 0.5, 0.2, 30 * Micros.SECOND, List.of("a"));
    private static final int PATIENCE_S = 60;
    /** Until filters are built: a segment every 50 ms and more. */
    private static final int SETTLES_S = 25;

    private static final int POLLS_S = 5;
    private static final int USERS = 8;

    private StartupBenchmark() {}

    /** @param args the service's command without its settings file, as one word; {@code rows} or {@code archive}; numbers of jobs */
    public static void main(String[] args) throws Exception {
        List<String> command = List.of(args[0].split(" "));
        System.out.println(
                "finished jobs | in | start until healthy (s) | resident 25 s later (MB) | requests until then"
                        + " | values of the archive | changes for a job | polls answered a second, and with 503 | resident then"
                        + " | take-over, claim to rebuilt (s)");
        for (int i = 2; i < args.length; i++) {
            System.out.println(measure(command, args[1].equals("archive"), Integer.parseInt(args[i])));
        }
        System.exit(0);
    }

    private static String measure(List<String> command, boolean archived, int jobs) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        SimulatedStore[] state = new SimulatedStore[1];
        long[] changes = new long[1];
        loop.submit(() -> {
                    state[0] = new SimulatedStore(new NettyActorExecutor(loop), LIMITS);
                    changes[0] = fill(state[0], archived, jobs);
                })
                .get();
        int[] ports = new int[6];
        for (int i = 0; i < ports.length; i++) {
            try (ServerSocket free = new ServerSocket(0)) {
                ports[i] = free.getLocalPort();
            }
        }
        new HttpServer(state[0]::handle, 1000)
                .bind(loop, "127.0.0.1:" + ports[0])
                .sync();
        SimulatedCloud cloud =
                new SimulatedCloud(new NettyActorExecutor(loop), List.of(TYPE), 0, machine -> {}, name -> {});
        new HttpServer(cloud::handle, 1000).bind(loop, "127.0.0.1:" + ports[1]).sync();
        loop.submit(() -> state[0].preset(StoreKeys.MACHINE_TYPES, json(new StoredRecord.MachineTypes(List.of(TYPE)))))
                .get();
        List<String> log = new ArrayList<>();
        long[] requests = new long[1];
        List<Process> processes = new ArrayList<>();
        double healthy = -1;
        double resident = -1;
        double takeOver = -1;
        double afterwards = -1;
        double[] polls = new double[2];
        try {
            long began = System.nanoTime();
            requests[0] = state[0].requestCount();
            processes.add(start(command, ports, 0, null));
            healthy = healthy(ports[2], processes.get(0), began);
            if (healthy >= 0) {
                TimeUnit.SECONDS.sleep(SETTLES_S);
                requests[0] = state[0].requestCount() - requests[0];
                resident = resident(processes.get(0));
                polls = polls(ports[2], jobs);
                afterwards = resident(processes.get(0));
                File second = File.createTempFile("micatide", ".log");
                processes.add(start(command, ports, 1, second));
                healthy(ports[4], processes.get(1), System.nanoTime());
                TimeUnit.SECONDS.sleep(2);
                processes.get(0).destroyForcibly().waitFor();
                TimeUnit.SECONDS.sleep(10);
                log.addAll(Files.readAllLines(second.toPath()));
                takeOver = between(log, "became leader with fencing token", " loaded: ");
                second.delete();
            }
        } finally {
            processes.forEach(Process::destroyForcibly);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        long values = state[0].values()
                .tailMap(StoreKeys.ARCHIVE_SEGMENTS)
                .headMap(StoreKeys.ARCHIVE_SEGMENTS + "~")
                .size();
        return String.format(
                Locale.ROOT,
                "%d | %s | %.2f | %.1f | %d | %d | %.3f | %.0f, %.0f | %.1f | %.2f",
                jobs,
                archived ? "archive" : "rows",
                healthy,
                resident,
                requests[0],
                values,
                archived && jobs > 0 ? 1 + (double) changes[0] / jobs : 0,
                polls[0],
                polls[1],
                afterwards,
                takeOver);
    }

    // ---- what is stored at the beginning

    private static String id(int number) {
        // A multiplier without a common factor: every id once, in no order.
        return String.format("wk-%07d", (int) (number * 7_368_787L % 10_000_000));
    }

    /** Returns the changes that the archive took, without one for each row that goes. */
    private static long fill(SimulatedStore state, boolean archived, int jobs) {
        if (!archived) {
            for (int i = 0; i < jobs; i++) {
                state.preset(
                        StoreKeys.job(id(i)),
                        json(new StoredRecord.JobRecord(
                                JobState.DONE, null, 1_790_000_000_000_000L + i, 16, 1_790_000_060_000_000L + i, 0)));
            }
            return 0;
        }
        StoredRecord.ArchiveManifest manifest = Archiver.emptyManifest(17, 4711);
        long version = 1;
        long changes = 0;
        Archiver archivist = new Archiver(
                1, new ArchiveLimits(LIMITS.maxValueBytes(), LIMITS.maxTransactionWrites(), 256), manifest, version);
        int next = 0;
        for (ArchiveOperation step = archivist.nextOperation(LIMITS.maxTransactionWrites());
                step != null || next < jobs;
                step = archivist.nextOperation(LIMITS.maxTransactionWrites())) {
            if (step == null) {
                List<Archiver.ArchivableJob> some = new ArrayList<>();
                for (int end = Math.min(jobs, next + 256); next < end; next++) {
                    some.add(new Archiver.ArchivableJob(id(next), 1, new JobOutcome(JobState.DONE, false, 16), 0));
                }
                archivist.offerCandidates(some, 0, Archiver.BatchPolicy.ANY_SIZE);
            } else if (step instanceof ArchiveOperation.Write write) {
                changes += write.transaction().writes().size();
                for (Transaction.Write each : write.transaction().writes()) {
                    if (each.record() == null) {
                        state.values().remove(each.key());
                    } else {
                        state.preset(each.key(), json(each.record()));
                    }
                }
                archivist.writeSucceeded(++version);
            } else if (step instanceof ArchiveOperation.FindAfter) {
                archivist.keyFound(null);
            } else if (step instanceof ArchiveOperation.ReadSegment read) {
                segment(state, archivist, read.key());
            }
        }
        state.preset(StoreKeys.LAYOUT, json(new StoredRecord.Layout(3, 2048)));
        state.preset(StoreKeys.ARCHIVE_MANIFEST, json(archivist.manifest()));
        return changes;
    }

    private static void segment(SimulatedStore state, Archiver archivist, String key) {
        try {
            String value = "{\"k\":\"" + key + "\",\"data\":"
                    + new String(state.values().get(key).json(), StandardCharsets.UTF_8) + ",\"stamp\":1}";
            archivist.segmentRead(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment)
                    StoreCodec.item(value.getBytes(StandardCharsets.UTF_8)).record()));
        } catch (MalformedException | DamagedSegmentException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] json(StoredRecord row) {
        try {
            return Json.tree(StoreCodec.transaction(
                            new Transaction(List.of(), List.of(new Transaction.Write("k", row, 0)))))
                    .path("writes")
                    .get(0)
                    .path("data")
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- the process

    private static Process start(List<String> command, int[] ports, int number, File log) throws IOException {
        String settings = """
                label = "c%d"
                site = "a"
                bind = "127.0.0.1:%d"
                peer_bind = "127.0.0.1:%d"
                [[siblings]]
                label = "c%d"
                site = "a"
                endpoint = "127.0.0.1:%d"
                [services]
                cloud = "127.0.0.1:%d"
                state = "127.0.0.1:%d"
                [deployment]
                count = 2
                zones = ["a"]
                clock_off_ms = 100.0
                [deployment.workers]
                report_s = 1.0
                lease_s = 10.0
                gang_wait_s = 30.0
                gang_peer_s = 5.0
                cancel_s = 30.0
                [deployment.state]
                rps = %s
                write_rps = %s
                value_kb = 16.0
                txn_ops = 16
                [deployment.cloud]
                rps = 8.0
                list_lag_s = 1.0
                [deployment.limits]
                cores = 0.34
                memory_mb = 148.0
                max_connections = 500
                """.formatted(
                        number,
                        ports[2 + 2 * number],
                        ports[3 + 2 * number],
                        1 - number,
                        ports[3 + 2 * (1 - number)],
                        ports[1],
                        ports[0],
                        LIMITS.requestsPerSecond(),
                        LIMITS.writesPerSecond());
        Path file = Files.createTempFile("micatide", ".toml");
        Files.writeString(file, settings);
        file.toFile().deleteOnExit();
        List<String> line = new ArrayList<>(List.of("taskset", "-c", String.valueOf(number)));
        line.addAll(command);
        line.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(log == null ? ProcessBuilder.Redirect.DISCARD : ProcessBuilder.Redirect.to(log));
        builder.environment()
                .put(
                        "JAVA_TOOL_OPTIONS",
                        "-Dorg.slf4j.simpleLogger.showDateTime=true"
                                + " -Dorg.slf4j.simpleLogger.dateTimeFormat=ss.SSS");
        return builder.start();
    }

    private static double healthy(int port, Process process, long began) throws InterruptedException {
        while (System.nanoTime() - began < TimeUnit.SECONDS.toNanos(PATIENCE_S) && process.isAlive()) {
            try {
                HttpURLConnection ask = (HttpURLConnection) URI.create("http://127.0.0.1:" + port + "/healthz")
                        .toURL()
                        .openConnection();
                ask.setConnectTimeout(500);
                ask.setReadTimeout(1000);
                if (ask.getResponseCode() == 200) {
                    return (System.nanoTime() - began) / 1e9;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return -1;
    }

    /** Polls of archived jobs as fast as eight users get answers, one after the other each: answers a second, and of them 503. */
    private static double[] polls(int port, int jobs) throws InterruptedException {
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unavailable = new AtomicInteger();
        List<Thread> users = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(POLLS_S);
        for (int user = 0; user < USERS; user++) {
            Random random = new Random(user);
            Thread thread = new Thread(() -> {
                while (System.nanoTime() < end) {
                    int status = ask(port, "/v1/jobs/" + id(random.nextInt(Math.max(1, jobs))));
                    answered.addAndGet(status == 200 || status == 404 ? 1 : 0);
                    unavailable.addAndGet(status == 503 || status == 429 ? 1 : 0);
                }
            });
            users.add(thread);
            thread.start();
        }
        for (Thread user : users) {
            user.join();
        }
        return new double[] {(double) answered.get() / POLLS_S, (double) unavailable.get() / POLLS_S};
    }

    private static int ask(int port, String path) {
        try {
            HttpURLConnection ask = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            ask.setConnectTimeout(500);
            ask.setReadTimeout(2000);
            int status = ask.getResponseCode();
            try (InputStream in = status < 400 ? ask.getInputStream() : ask.getErrorStream()) {
                in.readAllBytes();
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    private static double resident(Process process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return -1;
    }

    /** Seconds between the first lines of a log that hold these words; each line begins with seconds and thousandths. */
    private static double between(List<String> log, String from, String to) {
        double first = at(log, from);
        double second = at(log, to);
        return first < 0 || second < 0 ? -1 : (second - first + 60) % 60;
    }

    private static double at(List<String> log, String words) {
        return log.stream()
                .filter(line -> line.contains(words))
                .findFirst()
                .map(line -> Double.parseDouble(line.substring(0, line.indexOf(' '))))
                .orElse(-1.0);
    }
}
