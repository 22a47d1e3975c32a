package io.micatide.cli;

import io.micatide.controller.ControllerServer;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs a controller until it is stopped (SIGTERM, in order) or killed. */
@Command(name = "serve", description = "Run a controller until it is killed.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
    /** What a stop waits for at most: a round, an heir and the lease, with room for a slow state service. */
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
        try (ControllerServer node = new ControllerServer(loaded.settings(), loaded.tuning())) {
            node.start();
            if (loaded.tuning().standbyEnabled()) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node), "end"));
            }
            node.awaitTermination();
            return 0;
        } catch (IllegalStateException e) {
            System.err.println(config + ": " + e.getMessage());
            return Main.EXIT_SETTINGS;
        }
    }

    private static void shutDown(ControllerServer node) {
        try {
            node.shutDown(SHUTDOWN_LIMIT_MICROS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
