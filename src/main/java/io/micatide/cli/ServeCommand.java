package io.micatide.cli;

import io.micatide.controller.ControllerServer;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command {@code serve}: runs a controller until it is killed or, with the standby enabled, shut down gracefully by SIGTERM. */
@Command(name = "serve", description = "Run a controller until it is killed.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
    /**
     * Maximum duration of a graceful shutdown. It covers the write in flight, the handover to a successor and the release of the lease, with a
     * margin for a slow store.
     */
    private static final long SHUTDOWN_LIMIT_MICROS = 2_000_000;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Mixin
    private SettingsFiles files;

    @Override
    public Integer call() throws InterruptedException {
        SettingsFiles.Loaded loaded = files.load(config);
        if (loaded == null) {
            return Main.EXIT_SETTINGS;
        }
        try (ControllerServer server = new ControllerServer(loaded.settings(), loaded.tuning())) {
            server.start();
            if (loaded.tuning().standbyEnabled()) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(server), "end"));
            }
            server.awaitTermination();
            return 0;
        } catch (IllegalStateException e) {
            System.err.println(config + ": " + e.getMessage());
            return Main.EXIT_SETTINGS;
        }
    }

    private static void shutDown(ControllerServer server) {
        try {
            server.shutDown(SHUTDOWN_LIMIT_MICROS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
