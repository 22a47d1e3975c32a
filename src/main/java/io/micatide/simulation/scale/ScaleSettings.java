package io.micatide.simulation.scale;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.SettingsReader;
import io.micatide.simulation.SimulatedStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The deployment that a scale run plays: its zones, machines, teams and the settings files of its controllers. */
final class ScaleSettings {
    static final int SETTLE_SECONDS = 15;
    static final int ZONES = 16;
    static final double REPORT_SECONDS = 3;
    static final double LEASE_SECONDS = 15;
    private static final double CANCEL_SECONDS = 40;
    private static final int MACHINE_CPUS = 16;
    private static final int MACHINE_MEMORY_GB = 64;
    private static final double CLOUD_RATE = 20;
    private static final double LIST_LAG_SECONDS = 5;
    private static final int MOST_CONNECTIONS = 8_000;
    /** Of an equal share of all processors, what a team is guaranteed and what it may use at most. */
    private static final double GUARANTEED_SHARE = 0.5;

    private static final double MOST_SHARE = 3;
    /** A machine stays for the whole run: what is measured is control, not renting. */
    private static final int IDLE_SECONDS = 7_200;

    static final SimulatedStore.Limits STATE = new SimulatedStore.Limits(400, 200, 16 * 1024, 16);

    /** Where one controller listens, and where it finds its services; ports on loopback. */
    record Ports(int users, int peers, int state, int cloud) {}

    private final ScalePlan plan;
    private final List<Ports> ports;

    ScaleSettings(ScalePlan plan, List<Ports> ports) {
        this.plan = plan;
        this.ports = ports;
    }

    static String local(int port) {
        return "127.0.0.1:" + port;
    }

    static List<String> zones() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < ZONES; i++) {
            names.add(String.format("zone-%02d", i));
        }
        return names;
    }

    static MachineType machineType() {
        return new MachineType(
                "standard",
                Resources.of(MACHINE_CPUS, 0, MACHINE_MEMORY_GB),
                50,
                1,
                0.5,
                0.2,
                30 * Micros.SECOND,
                zones());
    }

    static String team(int number) {
        return String.format("team-%03d", number);
    }

    static String label(int controller) {
        return "controller-" + controller;
    }

    /** What the controllers' tuning file holds: as deploy/rollout.toml, but that idle machines stay. */
    static String tuning() {
        return "history = true\nstandby = true\nrollout = true\nidle_s = " + IDLE_SECONDS + ".0\n";
    }

    /** The settings file of one controller. */
    String file(int controller) {
        Ports own = ports.get(controller);
        StringBuilder out = new StringBuilder();
        line(out, "label = \"%s\"", label(controller));
        line(out, "site = \"%s\"", zones().get(controller % ZONES));
        line(out, "bind = \"%s\"", local(own.users()));
        line(out, "peer_bind = \"%s\"", local(own.peers()));
        for (int i = 0; i < plan.controllers(); i++) {
            if (i != controller) {
                line(out, "[[siblings]]");
                line(out, "label = \"%s\"", label(i));
                line(out, "site = \"%s\"", zones().get(i % ZONES));
                line(out, "endpoint = \"%s\"", local(ports.get(i).peers()));
            }
        }
        line(out, "[services]");
        line(out, "cloud = \"%s\"", local(own.cloud()));
        line(out, "state = \"%s\"", local(own.state()));
        deployment(out);
        return out.toString();
    }

    private void deployment(StringBuilder out) {
        line(out, "[deployment]");
        line(out, "count = %d", plan.controllers());
        line(out, "zones = [\"%s\"]", String.join("\", \"", zones()));
        line(out, "clock_off_ms = 100.0");
        double share = (double) plan.workers() * MACHINE_CPUS / plan.teams();
        for (int i = 0; i < plan.teams(); i++) {
            line(out, "[[deployment.teams]]");
            line(out, "name = \"%s\"", team(i));
            line(out, "cpus = %.1f", GUARANTEED_SHARE * share);
            line(out, "cpus_max = %.1f", Math.max(MACHINE_CPUS, MOST_SHARE * share));
        }
        line(out, "[deployment.workers]");
        line(out, "report_s = %.1f", REPORT_SECONDS);
        line(out, "lease_s = %.1f", LEASE_SECONDS);
        line(out, "gang_wait_s = 30.0");
        line(out, "gang_peer_s = 5.0");
        line(out, "cancel_s = %.1f", CANCEL_SECONDS);
        line(out, "[deployment.state]");
        line(out, "rps = %.1f", STATE.requestsPerSecond());
        line(out, "write_rps = %.1f", STATE.writesPerSecond());
        line(out, "value_kb = %.1f", STATE.maxValueBytes() / 1024.0);
        line(out, "txn_ops = %d", STATE.maxTransactionWrites());
        line(out, "[deployment.cloud]");
        line(out, "rps = %.1f", CLOUD_RATE);
        line(out, "list_lag_s = %.1f", LIST_LAG_SECONDS);
        line(out, "[deployment.limits]");
        line(out, "cores = 1.0");
        line(out, "memory_mb = 256.0");
        line(out, "max_connections = %d", MOST_CONNECTIONS);
    }

    private static void line(StringBuilder out, String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    /** The same as the service reads it. */
    Settings parsed(int controller) {
        try {
            return SettingsReader.parse(file(controller));
        } catch (MalformedException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
