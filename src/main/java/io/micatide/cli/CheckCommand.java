package io.micatide.cli;

import io.micatide.core.Settings;
import io.micatide.wire.MalformedException;
import io.micatide.wire.SettingsReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Says whether a settings file is good. */
@Command(name = "check", description = "Check a settings file.", mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path file;

    @Override
    public Integer call() {
        try {
            Settings settings = SettingsReader.read(file);
            System.out.println(file + ": good, " + settings.label() + " with " + settings.siblings().size()
                    + " siblings and " + settings.teams().size() + " teams");
            return 0;
        } catch (MalformedException e) {
            System.err.println(file + ": " + e.getMessage());
            return Main.EXIT_SETTINGS;
        }
    }
}
