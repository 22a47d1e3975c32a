package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Set;

/** Reads the tuning file, the operators' own settings. Unlike in the platform's file an unknown key is an error, since it is a typo. */
public final class TuningReader {
    private static final Set<String> KEYS =
            Set.of("description", "leader_lease_s", "idle_s", "history", "history_batch", "rollout", "standby");

    private TuningReader() {}

    public static Tuning read(Path file, Settings settings) throws MalformedException {
        try {
            return parse(Files.readString(file), settings);
        } catch (IOException e) {
            throw new MalformedException("file", "cannot be read");
        }
    }

    public static Tuning parse(String text, Settings settings) throws MalformedException {
        JsonNode tree;
        try {
            tree = new TomlMapper().readTree(text);
        } catch (IOException e) {
            throw new MalformedException("file", "is not TOML");
        }
        for (Iterator<String> names = tree.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!KEYS.contains(name)) {
                throw new MalformedException(
                        name,
                        "is not a setting; known are description, history, history_batch, idle_s, leader_lease_s, rollout and standby");
            }
        }
        JsonFields in = new JsonFields(tree, "");
        Tuning defaults = Tuning.defaults(settings);
        boolean standby = in.has("standby") && in.flag("standby");
        long lease = in.has("leader_lease_s")
                ? in.seconds("leader_lease_s")
                : standby ? Tuning.defaultLeaseWithStandbyMicros(settings) : defaults.leaderLeaseMicros();
        if (lease < settings.workerLeaseMicros() / 20 || lease > settings.workerLeaseMicros() / 2) {
            throw new MalformedException("leader_lease_s", "must be from a twentieth to half of the workers' lease");
        }
        return new Tuning(
                lease,
                in.has("idle_s") ? in.seconds("idle_s") : defaults.idleMachineMicros(),
                in.has("history") && in.flag("history"),
                in.has("history_batch") ? (int) in.count("history_batch", 1, 4096) : defaults.archiveBatchSize(),
                standby,
                in.has("description") && in.flag("description"),
                in.has("rollout") && in.flag("rollout"));
    }
}
