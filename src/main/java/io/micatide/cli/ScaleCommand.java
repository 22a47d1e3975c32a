package io.micatide.cli;

import io.micatide.simulation.scale.Scale;
import io.micatide.simulation.scale.ScalePlan;
import io.micatide.simulation.scale.ScaleReport;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code scale}: measures the cost of control at a given size with real controllers and simulated workers on this machine. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Run real controllers beside many hollow workers on loopback and measure what control costs.")
final class ScaleCommand implements Callable<Integer> {
    /** Exit code when the run could not be carried out or a rule was broken in it. */
    private static final int EXIT_FAILED = 1;
    /** Number of workers for which the default rate of task starts is defined; other sizes get a rate in proportion. */
    private static final double REFERENCE_WORKERS = 2_800;

    private static final double REFERENCE_STARTS_PER_SECOND = 470;

    @Option(
            names = "--workers",
            defaultValue = "350",
            split = ",",
            paramLabel = "N",
            description = "hollow workers, 1 to 6000; several sizes with commas are played one after the other")
    private List<Integer> workers;

    @Option(names = "--controllers", defaultValue = "3", paramLabel = "N", description = "controllers, 1 to 20")
    private int controllers;

    @Option(
            names = "--starts",
            paramLabel = "RATE",
            description = "task starts a second, 0.1 to 2000; by default 470 for 2800 workers and in proportion")
    private Double starts;

    @Option(
            names = "--jobs",
            paramLabel = "RATE",
            description = "jobs a second; with --starts it gives the tasks of a job, else the starts")
    private Double jobs;

    @Option(names = "--tasks", paramLabel = "N", description = "tasks of a job, 1 to 10000; by default 47")
    private Integer tasks;

    @Option(
            names = "--task-seconds",
            defaultValue = "45",
            paramLabel = "S",
            description = "a task's run time, 1 to 600")
    private double taskSeconds;

    @Option(
            names = "--gangs",
            defaultValue = "0",
            paramLabel = "N",
            description = "gangs of four whole machines each, submitted at the beginning, 0 to 5000")
    private int gangs;

    @Option(names = "--teams", defaultValue = "47", paramLabel = "N", description = "teams, 1 to 200")
    private int teams;

    @Option(names = "--seconds", defaultValue = "60", paramLabel = "S", description = "what is measured, 10 to 3600")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "of all that is drawn")
    private long seed;

    @Option(
            names = "--fault",
            defaultValue = "none",
            paramLabel = "NAME",
            description = "what fails at half of the time: none, leader, zone or all")
    private String fault;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/service.toml",
            paramLabel = "FILE",
            description = "the file whose run starts a controller")
    private Path deploy;

    @Option(names = "--json", paramLabel = "FILE", description = "where the figures are written; by default nowhere")
    private Path json;

    @Override
    public Integer call() throws InterruptedException {
        try {
            ScaleReport report = Scale.play(plans(), deploy);
            System.out.print(report.text());
            if (json != null) {
                report.write(json.toFile());
            }
            return report.broken() ? EXIT_FAILED : 0;
        } catch (ScalePlan.InvalidPlanException e) {
            System.err.println(e.getMessage());
            return Main.EXIT_SETTINGS;
        } catch (IOException e) {
            System.err.println("the scale run could not be played: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private List<ScalePlan> plans() throws ScalePlan.InvalidPlanException {
        List<ScalePlan> plans = new ArrayList<>();
        for (int workerCount : workers) {
            double startRate = startsPerSecond(workerCount);
            plans.add(new ScalePlan(
                    workerCount,
                    controllers,
                    startRate,
                    tasksPerJob(startRate),
                    taskSeconds,
                    gangs,
                    teams,
                    seconds,
                    seed,
                    ScalePlan.Fault.named(fault)));
        }
        return plans;
    }

    private double startsPerSecond(int workerCount) {
        if (starts != null) {
            return starts;
        }
        return jobs != null && tasks != null
                ? jobs * tasks
                : REFERENCE_STARTS_PER_SECOND * workerCount / REFERENCE_WORKERS;
    }

    private int tasksPerJob(double startRate) throws ScalePlan.InvalidPlanException {
        if (starts != null && jobs != null && tasks != null) {
            throw new ScalePlan.InvalidPlanException("--starts, --jobs and --tasks: two of them give the third");
        }
        if (jobs != null && !(jobs > 0)) {
            throw new ScalePlan.InvalidPlanException("--jobs: must be above 0");
        }
        if (tasks != null) {
            return tasks;
        }
        return jobs == null ? 47 : (int) Math.max(1, Math.round(startRate / jobs));
    }
}
