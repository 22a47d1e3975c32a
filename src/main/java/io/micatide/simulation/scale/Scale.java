package io.micatide.simulation.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Plays scale runs one after the other with the command of a deploy file. */
public final class Scale {
    private Scale() {}

    /**
     * Checks all plans first, then plays them; when the virtual machine is ended meanwhile, the controllers are ended with it.
     *
     * @param deployFile whose {@code run} starts a controller
     * @throws ScalePlan.InvalidPlanException a plan cannot be played on this machine; nothing was started
     * @throws IOException a controller or a port cannot be had
     */
    public static ScaleReport play(List<ScalePlan> plans, Path deployFile)
            throws ScalePlan.InvalidPlanException, IOException, InterruptedException {
        ScaleLimits limits = ScaleLimits.ofThisMachine();
        for (ScalePlan plan : plans) {
            plan.check();
            limits.check(plan);
        }
        List<String> command = command(deployFile);
        List<ScaleResult> results = new ArrayList<>();
        for (ScalePlan plan : plans) {
            results.add(play(plan, command));
        }
        return new ScaleReport(results);
    }

    private static ScaleResult play(ScalePlan plan, List<String> command) throws IOException, InterruptedException {
        ScaleRun run = new ScaleRun(plan, command);
        Thread ending = new Thread(run::close, "end of the scale run");
        Runtime.getRuntime().addShutdownHook(ending);
        try (run) {
            return run.play();
        } finally {
            Runtime.getRuntime().removeShutdownHook(ending);
        }
    }

    /** The deploy file's {@code run} up to its tuning and settings files, which the scale run has of its own. */
    static List<String> command(Path deployFile) throws ScalePlan.InvalidPlanException {
        JsonNode run;
        try {
            run = new TomlMapper().readTree(deployFile.toFile()).path("run");
        } catch (IOException e) {
            throw new ScalePlan.InvalidPlanException("--deploy: " + deployFile + " cannot be read");
        }
        List<String> words = new ArrayList<>();
        String[] all = run.asText("").split(" +");
        for (int i = 0; i < all.length; i++) {
            if (all[i].equals("--tuning") || all[i].equals("--config")) {
                i++;
            } else {
                words.add(all[i]);
            }
        }
        if (words.get(0).isEmpty()) {
            throw new ScalePlan.InvalidPlanException("--deploy: " + deployFile + " has no run");
        }
        return words;
    }
}
