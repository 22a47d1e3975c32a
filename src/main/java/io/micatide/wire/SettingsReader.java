package io.micatide.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.micatide.core.Settings;
import io.micatide.core.Team;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's settings file. Unknown fields are ignored; missing or wrong ones are named. */
public final class SettingsReader {
    private SettingsReader() {
    }

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
            throw new MalformedException("file", "is not TOML: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        Fields in = new Fields(tree, "");
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (Fields each : in.objects("siblings")) {
            siblings.add(new Settings.Sibling(each.text("label"), each.text("site"), address(each, "endpoint")));
        }
        Fields services = in.object("services");
        Fields deployment = in.object("deployment");
        Map<String, Team> teams = new LinkedHashMap<>();
        for (Fields each : deployment.objects("teams")) {
            teams.put(each.text("name"), new Team(each.text("name"), thousandths(each, "cpus"),
                    thousandths(each, "gpus"), thousandths(each, "cpus_max"), thousandths(each, "gpus_max")));
        }
        List<Settings.Objective> objectives = new ArrayList<>();
        for (Fields each : deployment.objects("objectives")) {
            objectives.add(new Settings.Objective(each.text("kind"), each.has("class") ? each.text("class") : "",
                    each.has("within_s") ? each.seconds("within_s") : -1,
                    each.has("share") ? each.amount("share") : 1));
        }
        Fields workers = deployment.object("workers");
        Fields state = deployment.object("state");
        Fields cloud = deployment.object("cloud");
        Fields limits = deployment.object("limits");
        return new Settings(in.text("label"), in.text("site"), address(in, "bind"), address(in, "peer_bind"), siblings,
                address(services, "cloud"), address(services, "state"), deployment.texts("zones"),
                Math.round(deployment.amount("clock_off_ms") * 1000), teams, objectives,
                positive(workers, "report_s"), positive(workers, "lease_s"), positive(workers, "gang_wait_s"),
                positive(workers, "gang_peer_s"), positive(workers, "cancel_s"),
                rate(state, "rps"), rate(state, "write_rps"), (int) Math.round(state.amount("value_kb") * 1024),
                (int) state.count("txn_ops", 3, 100_000), rate(cloud, "rps"), cloud.seconds("list_lag_s"),
                limits.amount("cores"), limits.amount("memory_mb"), (int) limits.count("max_connections", 10, 1 << 30));
    }

    private static long positive(Fields in, String name) throws MalformedException {
        long micros = in.seconds(name);
        if (micros <= 0) {
            throw new MalformedException(name, "must be above 0");
        }
        return micros;
    }

    private static double rate(Fields in, String name) throws MalformedException {
        double rate = in.amount(name);
        if (rate <= 0) {
            throw new MalformedException(name, "must be above 0");
        }
        return rate;
    }

    private static String address(Fields in, String name) throws MalformedException {
        String address = in.text(name);
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 65536) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new MalformedException(name, "must be host:port");
    }

    private static long thousandths(Fields in, String name) throws MalformedException {
        return in.has(name) ? Math.round(in.amount(name) * 1000) : 0;
    }
}
