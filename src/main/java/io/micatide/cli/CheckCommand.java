package io.micatide.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The command {@code check}: reads the settings files and reports whether they are valid. */
@Command(name = "check", description = "Check settings files.", mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the platform's settings (TOML)")
    private Path file;

    @Mixin
    private SettingsFiles files;

    @Override
    public Integer call() {
        SettingsFiles.Loaded loaded = files.load(file);
        if (loaded == null) {
            return Main.EXIT_SETTINGS;
        }
        System.out.println(file + ": good, " + loaded.settings().label() + " with "
                + loaded.settings().peers().size() + " siblings and "
                + loaded.settings().teams().size()
                + " teams");
        return 0;
    }
}
