package io.micatide.cli;

import io.micatide.election.CancellationHorizon;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.SettingsReader;
import io.micatide.protocol.TuningReader;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Loads the settings files that a command names, and prints errors in them to standard error. */
final class SettingsFiles {
    @Option(names = "--tuning", paramLabel = "FILE", description = "the operator's own settings (TOML)")
    private Path tuningFile;

    /** The settings that were read; the tuning has default values when no tuning file is given. */
    record Loaded(Settings settings, Tuning tuning) {}

    /** Returns the contents of both files, or null after printing one line to standard error that names the invalid file and field. */
    Loaded load(Path config) {
        Path file = config;
        try {
            Settings settings = SettingsReader.read(config);
            CancellationHorizon.violationOf(settings)
                    .ifPresent(violation -> System.err.println(config + ": " + violation));
            if (tuningFile == null) {
                return new Loaded(settings, Tuning.defaults(settings));
            }
            file = tuningFile;
            return new Loaded(settings, TuningReader.read(tuningFile, settings));
        } catch (MalformedException e) {
            System.err.println(file + ": " + e.getMessage());
            return null;
        }
    }
}
