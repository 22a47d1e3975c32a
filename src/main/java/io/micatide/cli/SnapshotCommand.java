package io.micatide.cli;

import io.micatide.model.Settings;
import io.micatide.snapshot.SnapshotException;
import io.micatide.snapshot.SnapshotFile;
import io.micatide.snapshot.SnapshotRestorer;
import io.micatide.snapshot.SnapshotTaker;
import io.micatide.snapshot.StoreImage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code snapshot}: saves the contents of the store to a file, shows or verifies the file, and restores it. */
@Command(
        name = "snapshot",
        description = "Save, show, verify or restore what the state service holds.",
        mixinStandardHelpOptions = true)
final class SnapshotCommand {
    /** Exit code when a snapshot is invalid, or cannot be taken or restored. */
    private static final int EXIT_SNAPSHOT = 3;

    /** Divisor of the rate allowed by the settings that gives the default rate of requests. */
    private static final int RATE_DIVISOR = 10;

    @Mixin
    private SettingsFiles files;

    /** What a subcommand does. */
    @FunctionalInterface
    private interface SnapshotOperation {
        void run() throws SnapshotException, IOException;
    }

    @Command(description = "Take a consistent image while the service runs.", mixinStandardHelpOptions = true)
    int save(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config,
            @Option(names = "--key", paramLabel = "FILE", description = "sign it with what this file holds") Path key,
            @Option(names = "--rate", description = "requests a second; by default a tenth of what is allowed")
                    Double rate) {
        Settings settings = settings(config);
        return settings == null
                ? Main.EXIT_SETTINGS
                : exitCodeOf(() -> {
                    byte[] secret = readKey(key);
                    if (Files.exists(file)) {
                        throw new SnapshotException(file + ": is there already");
                    }
                    try (RateLimitedCalls calls =
                            new RateLimitedCalls(settings.storeEndpoint(), rate(rate, settings))) {
                        StoreImage image = new SnapshotTaker(calls, System.err::println).take();
                        SnapshotFile.write(
                                file,
                                image,
                                secret,
                                Instant.now().truncatedTo(ChronoUnit.SECONDS).toString());
                    }
                    show(SnapshotFile.read(file, secret).summary());
                });
    }

    @Command(description = "Say what a file holds.", mixinStandardHelpOptions = true)
    int show(@Parameters(paramLabel = "FILE") Path file) {
        return exitCodeOf(() -> show(SnapshotFile.read(file, null).summary()));
    }

    @Command(
            description = "Check all of a file, and its signature where a key is given.",
            mixinStandardHelpOptions = true)
    int verify(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--key", paramLabel = "FILE", description = "the key that it was signed with") Path key) {
        return exitCodeOf(() -> {
            SnapshotFile.read(file, readKey(key));
            System.out.println(file + ": sound" + (key == null ? "" : ", signed with this key"));
        });
    }

    @Command(description = "Restore a file into an empty state service.", mixinStandardHelpOptions = true)
    int restore(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--config", required = true, paramLabel = "FILE", description = "a controller's settings")
                    Path config,
            @Option(names = "--key", paramLabel = "FILE", description = "the key that it was signed with") Path key,
            @Option(names = "--rate", description = "requests a second; by default a tenth of what is allowed")
                    Double rate,
            @Option(names = "--machines-gone", description = "all machines of the former service are deleted")
                    boolean machinesGone,
            @Option(
                            names = "--advance",
                            description = "bring the revision past the file's, so that machines that live listen")
                    boolean advance) {
        Settings settings = settings(config);
        return settings == null
                ? Main.EXIT_SETTINGS
                : exitCodeOf(() -> {
                    SnapshotFile.Content content = SnapshotFile.read(file, readKey(key));
                    if (machinesGone == advance) {
                        throw new SnapshotException(
                                "say either --machines-gone or --advance: workers that have seen the former service's tokens,"
                                        + " up to " + content.image().revision() + ", listen to no lower one");
                    }
                    try (RateLimitedCalls calls =
                            new RateLimitedCalls(settings.storeEndpoint(), rate(rate, settings))) {
                        new SnapshotRestorer(
                                        calls,
                                        settings.maxTransactionWrites(),
                                        settings.maxWritableValueBytes(),
                                        System.err::println)
                                .restore(content.image(), content.digest(), advance);
                    }
                });
    }

    /** Returns the settings, or null when they are invalid and the error has been printed. */
    private Settings settings(Path config) {
        SettingsFiles.Loaded loaded = files.load(config);
        return loaded == null ? null : loaded.settings();
    }

    /** Returns the requested rate in requests a second or, when none is given, the default, which is at least 1. */
    private static double rate(Double requestedRate, Settings settings) {
        return requestedRate != null
                ? requestedRate
                : Math.max(
                        1, Math.min(settings.storeRequestsPerSecond(), settings.storeWritesPerSecond()) / RATE_DIVISOR);
    }

    /** Returns the bytes of the given key file, or null when no key is given. */
    private static byte[] readKey(Path key) throws SnapshotException, IOException {
        if (key == null) {
            return null;
        }
        byte[] secret = Files.readAllBytes(key);
        if (secret.length < 16) {
            throw new SnapshotException(key + ": a key has 16 bytes or more");
        }
        return secret;
    }

    private static void show(SnapshotFile.Summary summary) {
        System.out.println("revision " + summary.revision() + ", taken " + summary.taken() + ", " + summary.parts()
                + " parts, " + (summary.signed() ? "signed" : "not signed"));
        summary.counts().forEach((prefix, count) -> System.out.println("  " + prefix + " " + count));
    }

    /** Runs the given operation, prints its error if it fails, and returns the exit code of the command. */
    private static int exitCodeOf(SnapshotOperation operation) {
        try {
            operation.run();
            return 0;
        } catch (SnapshotException e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println(e);
        }
        return EXIT_SNAPSHOT;
    }
}
