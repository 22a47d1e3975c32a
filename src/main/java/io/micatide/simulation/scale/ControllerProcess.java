package io.micatide.simulation.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A real controller: a process that can be started, killed, started again and measured. Needs /proc. */
final class ControllerProcess {
    /**
     * What the operating system says of a process.
     *
     * @param processorSeconds used so far, over all of its lives
     * @param residentMb the most that it has held in this life
     * @param sockets open now
     * @param bytes read and written through system calls so far, over all of its lives; sockets are almost all of it
     */
    record Sample(double processorSeconds, double residentMb, int sockets, long bytes) {
        static final Sample NONE = new Sample(0, 0, 0, 0);
    }

    private final List<String> command;
    private final File log;
    private Process process;
    private Sample former = Sample.NONE;

    /** @param command with all arguments */
    ControllerProcess(List<String> command, File log) {
        this.command = command;
        this.log = log;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Ends it without a signal that it could catch, and waits until it is gone. */
    void kill() throws InterruptedException {
        if (process == null) {
            return;
        }
        former = sample();
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        process = null;
    }

    /** What it has used; a part that cannot be read, as of a process that has just ended, counts as 0. */
    Sample sample() {
        if (process == null) {
            return new Sample(former.processorSeconds(), 0, 0, former.bytes());
        }
        double processor = process.toHandle()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / 1e9;
        Path proc = Path.of("/proc", String.valueOf(process.pid()));
        long bytes = field(proc.resolve("io"), "rchar:") + field(proc.resolve("io"), "wchar:");
        return new Sample(
                former.processorSeconds() + processor,
                field(proc.resolve("status"), "VmHWM:") / 1024.0,
                sockets(proc.resolve("fd")),
                former.bytes() + bytes);
    }

    private static long field(Path file, String name) {
        try {
            for (String line : Files.readAllLines(file)) {
                if (line.startsWith(name)) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            // It has ended.
        }
        return 0;
    }

    private static int sockets(Path descriptors) {
        int count = 0;
        try (Stream<Path> links = Files.list(descriptors)) {
            for (Path link : links.toList()) {
                count += isSocket(link) ? 1 : 0;
            }
        } catch (IOException e) {
            // It has ended.
        }
        return count;
    }

    private static boolean isSocket(Path link) {
        try {
            return Files.readSymbolicLink(link).toString().startsWith("socket:");
        } catch (IOException e) {
            return false;
        }
    }
}
