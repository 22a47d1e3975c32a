package io.micatide.simulation.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Tells what scale runs measured: a table for people, JSON for programs, and with several sizes how each figure grows with the workers. */
public final class ScaleReport {
    private static final double[] PERCENTILES = {50, 95, 99, 100};
    private static final double MICROS_PER_MILLI = 1_000;
    private static final Map<String, ToDoubleFunction<ScaleResult>> GROWING = growing();

    private final List<ScaleResult> results;

    ScaleReport(List<ScaleResult> results) {
        this.results = results;
    }

    private static Map<String, ToDoubleFunction<ScaleResult>> growing() {
        Map<String, ToDoubleFunction<ScaleResult>> figures = new LinkedHashMap<>();
        figures.put(
                "leader: processor, share of a core", result -> result.leading().processor());
        figures.put("leader: resident MB", result -> result.leading().residentMb());
        figures.put("leader: sockets", result -> result.leading().sockets());
        figures.put("leader: bytes a second", result -> result.leading().bytesPerSecond());
        figures.put(
                "leader: heartbeats a second",
                result -> result.leading().kinds().get(Traffic.Kind.HEARTBEAT).messages());
        figures.put(
                "leader: state service requests a second",
                result -> result.leading().kinds().get(Traffic.Kind.STATE).messages());
        figures.put("state service: changes a second", result -> result.changes() / result.seconds());
        figures.put(
                "other controllers: processor, share of a core",
                result -> result.following().processor());
        figures.put(
                "other controllers: resident MB", result -> result.following().residentMb());
        figures.put("other controllers: sockets", result -> result.following().sockets());
        figures.put(
                "other controllers: bytes a second",
                result -> result.following().bytesPerSecond());
        return figures;
    }

    /** Whether a rule was broken in any of the runs. */
    public boolean broken() {
        return results.stream().anyMatch(result -> !result.broken().isEmpty());
    }

    // ---- for people

    /** Tables in plain text. */
    public String text() {
        StringBuilder out = new StringBuilder();
        for (ScaleResult result : results) {
            table(out, result);
        }
        if (results.size() > 1) {
            slopes(out);
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static void table(StringBuilder out, ScaleResult result) {
        ScalePlan plan = result.plan();
        line(
                out,
                "workers %d, controllers %d, starts asked %.1f/s, tasks a job %d of %.0f s, gangs %d, teams %d, seed %d, fault %s,"
                        + " measured %.1f s",
                plan.workers(),
                plan.controllers(),
                plan.startsPerSecond(),
                plan.tasksPerJob(),
                plan.taskSeconds(),
                plan.gangs(),
                plan.teams(),
                plan.seed(),
                plan.fault(),
                result.seconds());
        line(
                out,
                "  starts %d (%.1f/s), state service changes %.1f/s, running at the end %d, jobs %d, open %d, refused %d, leases that ran out %d, rules broken %d,"
                        + " this process %.2f of a core",
                result.starts(),
                result.starts() / result.seconds(),
                result.changes() / result.seconds(),
                result.running(),
                result.submitted(),
                result.open(),
                result.refused(),
                result.leasesEnded(),
                result.broken().size(),
                result.busyShare());
        result.broken().stream().limit(10).forEach(each -> line(out, "  BROKEN %s", each));
        line(
                out,
                "  %-14s %9s %9s %8s %9s %s",
                "controller",
                "processor",
                "resident",
                "sockets",
                "KB/s",
                "messages/s (KB/s of bodies) by kind");
        for (int i = 0; i < result.controllers().size(); i++) {
            row(out, result, i);
        }
        result.latencies().forEach((name, histogram) -> line(out, "  %-36s %s", name, percentiles(histogram)));
    }

    private static void row(StringBuilder out, ScaleResult result, int number) {
        ScaleResult.Controller controller = result.controllers().get(number);
        List<String> kinds = new ArrayList<>();
        controller
                .kinds()
                .forEach((kind, rate) -> kinds.add(String.format(
                        Locale.ROOT,
                        "%s %.1f (%.1f)",
                        kind.name().toLowerCase(Locale.ROOT),
                        rate.messages(),
                        rate.bytes() / 1e3)));
        line(
                out,
                "  %-14s %9.4f %6.1f MB %8d %9.1f %s",
                number + (number == result.leader() ? " (leader)" : ""),
                controller.processor(),
                controller.residentMb(),
                controller.sockets(),
                controller.bytesPerSecond() / 1e3,
                String.join(", ", kinds));
    }

    private static String percentiles(Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return "none";
        }
        List<String> parts = new ArrayList<>();
        for (double percentile : PERCENTILES) {
            parts.add(String.format(
                    Locale.ROOT,
                    "p%.0f %.1f ms",
                    percentile,
                    histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI));
        }
        return String.join(", ", parts) + " of " + histogram.getTotalCount();
    }

    private void slopes(StringBuilder out) {
        line(out, "growth with the workers, least squares over %d runs", results.size());
        line(out, "  %-46s %14s %12s %12s", "figure", "per 1000", "at 0", "residual");
        GROWING.forEach((name, figure) -> {
            LeastSquares fit = fit(figure);
            line(out, "  %-46s %14.5f %12.4f %12.4f", name, fit.slope() * 1_000, fit.intercept(), fit.residual());
        });
    }

    private LeastSquares fit(ToDoubleFunction<ScaleResult> figure) {
        double[] workers =
                results.stream().mapToDouble(result -> result.plan().workers()).toArray();
        return LeastSquares.of(workers, results.stream().mapToDouble(figure).toArray());
    }

    // ---- for programs

    /** Writes all of it as JSON; times in microseconds, sizes in bytes unless the name says otherwise. */
    public void write(File file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ArrayNode runs = root.putArray("runs");
        results.forEach(result -> json(runs.addObject(), result));
        if (results.size() > 1) {
            ObjectNode slopes = root.putObject("slopes");
            GROWING.forEach((name, figure) -> {
                LeastSquares fit = fit(figure);
                slopes.putObject(name)
                        .put("slope", fit.slope())
                        .put("intercept", fit.intercept())
                        .put("residual", fit.residual());
            });
        }
        mapper.writerWithDefaultPrettyPrinter().writeValue(file, root);
    }

    private static void json(ObjectNode out, ScaleResult result) {
        ScalePlan plan = result.plan();
        out.putObject("plan")
                .put("workers", plan.workers())
                .put("controllers", plan.controllers())
                .put("startsPerSecond", plan.startsPerSecond())
                .put("tasksPerJob", plan.tasksPerJob())
                .put("taskSeconds", plan.taskSeconds())
                .put("gangs", plan.gangs())
                .put("teams", plan.teams())
                .put("seconds", plan.seconds())
                .put("seed", plan.seed())
                .put("fault", plan.fault().toString());
        out.put("leader", result.leader())
                .put("measuredSeconds", result.seconds())
                .put("ownProcessor", result.busyShare())
                .put("starts", result.starts())
                .put("stateChanges", result.changes())
                .put("running", result.running())
                .put("jobs", result.submitted())
                .put("open", result.open())
                .put("refused", result.refused())
                .put("leasesEnded", result.leasesEnded());
        ArrayNode broken = out.putArray("broken");
        result.broken().forEach(broken::add);
        ArrayNode controllers = out.putArray("controllers");
        for (ScaleResult.Controller each : result.controllers()) {
            ObjectNode controller = controllers.addObject();
            controller
                    .put("processor", each.processor())
                    .put("residentMb", each.residentMb())
                    .put("sockets", each.sockets())
                    .put("bytesPerSecond", each.bytesPerSecond());
            ObjectNode kinds = controller.putObject("kinds");
            each.kinds()
                    .forEach((kind, rate) -> kinds.putObject(kind.name().toLowerCase(Locale.ROOT))
                            .put("messagesPerSecond", rate.messages())
                            .put("bytesPerSecond", rate.bytes()));
        }
        ObjectNode latencies = out.putObject("latencyMicros");
        result.latencies().forEach((name, histogram) -> {
            ObjectNode latency = latencies.putObject(name).put("count", histogram.getTotalCount());
            for (double percentile : PERCENTILES) {
                latency.put(
                        String.format(Locale.ROOT, "p%.0f", percentile), histogram.getValueAtPercentile(percentile));
            }
        });
    }
}
