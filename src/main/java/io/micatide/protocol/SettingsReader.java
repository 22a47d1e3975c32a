package io.micatide.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the platform's settings file. Unknown fields are ignored; the exception for a missing or wrong field names it. */
public final class SettingsReader {
    private SettingsReader() {}

    public static Settings read(Path file) throws MalformedException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new MalformedException("file", "cannot be read");
        }
        return parse(text);
    }

    public static Settings parse(String text) throws MalformedException {
        JsonNode tree;
        try {
            tree = new TomlMapper().readTree(text);
        } catch (IOException e) {
            throw new MalformedException(
                    "file",
                    "is not TOML: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        JsonFields in = new JsonFields(tree, "");
        List<Settings.Peer> siblings = new ArrayList<>();
        for (JsonFields sibling : in.objects("siblings")) {
            siblings.add(new Settings.Peer(sibling.text("label"), sibling.text("site"), address(sibling, "endpoint")));
        }
        JsonFields services = in.object("services");
        JsonFields deployment = in.object("deployment");
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonFields team : deployment.objects("teams")) {
            teams.put(
                    team.text("name"),
                    new Team(
                            team.text("name"),
                            thousandths(team, "cpus"),
                            thousandths(team, "gpus"),
                            thousandths(team, "cpus_max"),
                            thousandths(team, "gpus_max")));
        }
        List<Settings.Objective> objectives = new ArrayList<>();
        for (JsonFields objective : deployment.objects("objectives")) {
            objectives.add(new Settings.Objective(
                    objective.text("kind"),
                    objective.has("class") ? objective.text("class") : "",
                    objective.has("within_s") ? objective.seconds("within_s") : -1,
                    objective.has("share") ? objective.amount("share") : 1));
        }
        JsonFields workers = deployment.object("workers");
        JsonFields state = deployment.object("state");
        JsonFields next = state.has("next") ? state.object("next") : null;
        JsonFields cloud = deployment.object("cloud");
        JsonFields limits = deployment.object("limits");
        return new Settings(
                in.text("label"),
                in.text("site"),
                address(in, "bind"),
                address(in, "peer_bind"),
                siblings,
                address(services, "cloud"),
                address(services, "state"),
                deployment.texts("zones"),
                Math.round(deployment.amount("clock_off_ms") * 1000),
                teams,
                objectives,
                positive(workers, "report_s"),
                positive(workers, "lease_s"),
                positive(workers, "gang_wait_s"),
                positive(workers, "gang_peer_s"),
                positive(workers, "cancel_s"),
                smaller(state, next, "rps", SettingsReader::rate),
                smaller(state, next, "write_rps", SettingsReader::rate),
                valueBytes(state, "value_kb"),
                (int) smaller(state, next, "value_kb", SettingsReader::valueBytes),
                (int) smaller(state, next, "txn_ops", (from, name) -> from.count(name, 3, 100_000)),
                rate(cloud, "rps"),
                cloud.seconds("list_lag_s"),
                limits.amount("cores"),
                limits.amount("memory_mb"),
                (int) limits.count("max_connections", 10, 1 << 30));
    }

    /** Returns a duration in microseconds that the field gives in seconds and that must be above 0. */
    private static long positive(JsonFields in, String name) throws MalformedException {
        long micros = in.seconds(name);
        if (micros <= 0) {
            throw new MalformedException(name, "must be above 0");
        }
        return micros;
    }

    /** Reads one limit of the store. */
    @FunctionalInterface
    private interface Limit {
        double read(JsonFields in, String name) throws MalformedException;
    }

    /**
     * Returns the smaller of the limit in force and the announced next limit, if there is one. The store may switch to the next limit at any
     * time without notice.
     */
    private static double smaller(JsonFields state, JsonFields next, String name, Limit limit)
            throws MalformedException {
        double current = limit.read(state, name);
        return next == null || !next.has(name) ? current : Math.min(current, limit.read(next, name));
    }

    /** Returns a size in bytes that the field gives in KiB, from 1 KiB to 1 GiB. */
    private static int valueBytes(JsonFields in, String name) throws MalformedException {
        double kilobytes = in.amount(name);
        if (kilobytes < 1 || kilobytes > 1 << 20) {
            throw new MalformedException(in.path(name), "must be from 1 to 1048576");
        }
        return (int) Math.round(kilobytes * 1024);
    }

    private static double rate(JsonFields in, String name) throws MalformedException {
        double rate = in.amount(name);
        if (rate <= 0) {
            throw new MalformedException(in.path(name), "must be above 0");
        }
        return rate;
    }

    private static String address(JsonFields in, String name) throws MalformedException {
        String address = in.text(name);
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 65536) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Reported by the exception below.
        }
        throw new MalformedException(name, "must be host:port");
    }

    private static long thousandths(JsonFields in, String name) throws MalformedException {
        return in.has(name) ? Math.round(in.amount(name) * 1000) : 0;
    }
}
