package io.micatide.cli;

import io.micatide.model.Settings;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the program: configures logging and runs the command that the arguments name. */
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
    /** Exit code of a command whose settings or options are invalid. */
    static final int EXIT_SETTINGS = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Provides the version that the build wrote to a resource, and the current layout. */
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

    /**
     * Runs the command that the arguments name and exits with its exit code.
     *
     * @param args the arguments of the command line
     */
    public static void main(String[] args) {
        configureLogging(System.getenv("LOG_LEVEL"));
        System.exit(commandLine(args).execute(args));
    }

    /**
     * Returns the command line for the given arguments. Each registered command class is loaded and inspected at every start of a controller, so
     * the measuring command {@code scale} is registered only when the arguments name it.
     */
    private static CommandLine commandLine(String[] args) {
        CommandLine commandLine = new CommandLine(new Main());
        if (args.length > 0 && args[0].equals("scale")) {
            commandLine.addSubcommand(new ScaleCommand());
            commandLine.setParameterExceptionHandler((exception, givenArguments) -> {
                System.err.println(exception.getMessage());
                return EXIT_SETTINGS;
            });
        }
        return commandLine;
    }

    private static void configureLogging(String level) {
        String lowerCaseLevel = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty(
                "org.slf4j.simpleLogger.defaultLogLevel",
                lowerCaseLevel.equals("error") || lowerCaseLevel.equals("debug") ? lowerCaseLevel : "info");
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        // With its defaults Netty spends start-up time on features that a controller does not use.
        System.setProperty("io.netty.noUnsafe", System.getProperty("io.netty.noUnsafe", "false"));
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("io.netty.allocator.type", System.getProperty("io.netty.allocator.type", "unpooled"));
    }
}
