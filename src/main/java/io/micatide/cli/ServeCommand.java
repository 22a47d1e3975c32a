package io.micatide.cli;

import io.micatide.core.Settings;
import io.micatide.node.Node;
import io.micatide.wire.MalformedException;
import io.micatide.wire.SettingsReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a controller until it is killed. */
@Command(name = "serve", description = "Run a controller until it is killed.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        Settings settings;
        try {
            settings = SettingsReader.read(config);
        } catch (MalformedException e) {
            System.err.println(config + ": " + e.getMessage());
            return Main.EXIT_SETTINGS;
        }
        try (Node node = new Node(settings)) {
            node.start();
            node.join();
        }
        return 0;
    }
}
