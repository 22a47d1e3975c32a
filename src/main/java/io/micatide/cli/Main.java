package io.micatide.cli;

import io.micatide.model.Settings;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point. */
@Command(
        name = "micatide",
        description = "A cluster scheduler: serves users and workers, rents machines.",
        versionProvider = Main.Version.class,
        mixinStandardHelpOptions = true,
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            LocalCommand.class,
            SnapshotCommand.class,
            RolloutCommand.class,
            WarmUpCommand.class
        })
public final class Main implements Runnable {
    /** Wrong settings end a start with this code. */
    static final int EXIT_SETTINGS = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Reads the version that the build wrote. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() throws Exception {
            try (var in = Main.class.getResourceAsStream("/micatide-version.txt")) {
                return new String[] {
                    "micatide " + new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8).trim()
                            + ", layout " + Settings.CURRENT_LAYOUT
                };
            }
        }
    }

    public static void main(String[] args) {
        configureLogging(System.getenv("LOG_LEVEL"));
        System.exit(commandLine(args).execute(args));
    }

    /** A service's start loads and inspects every class named here, so what measures from outside is added only when it is asked for. */
    private static CommandLine commandLine(String[] args) {
        CommandLine commandLine = new CommandLine(new Main());
        if (args.length > 0 && args[0].equals("scale")) {
            commandLine.addSubcommand(new ScaleCommand());
            commandLine.setParameterExceptionHandler((wrong, given) -> {
                System.err.println(wrong.getMessage());
                return EXIT_SETTINGS;
            });
        }
        return commandLine;
    }

    private static void configureLogging(String level) {
        String known = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty(
                "org.slf4j.simpleLogger.defaultLogLevel",
                known.equals("error") || known.equals("debug") ? known : "info");
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        // Without these Netty spends start time on what a controller does not use.
        System.setProperty("io.netty.noUnsafe", System.getProperty("io.netty.noUnsafe", "false"));
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("io.netty.allocator.type", System.getProperty("io.netty.allocator.type", "unpooled"));
    }
}
