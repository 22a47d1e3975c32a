package io.micatide.cli;

import io.micatide.election.CancellationHorizon;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.SettingsReader;
import io.micatide.protocol.TuningReader;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The files that {@code serve} and {@code check} read, and how they complain. */
final class SettingsFiles {
    @Option(names = "--tuning", paramLabel = "FILE", description = "the operator's own settings (TOML)")
    private Path tuningFile;

    /** What was read. */
    record Loaded(Settings settings, Tuning tuning) {}

    /** Both files, or null after one line on standard error that names file and field. */
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
