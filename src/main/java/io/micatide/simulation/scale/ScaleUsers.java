package io.micatide.simulation.scale;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.UserSideCodec;
import io.micatide.simulation.InvariantChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;

/**
 * Users as the protocol has them: they submit arrays at random moments, one urgent task beside every tenth of them, repeat what was not
 * answered, poll every five seconds and cancel a few jobs. They go to controllers that answer health checks. Used from its loop only.
 */
final class ScaleUsers {
    private static final Resources TASK = Resources.of(1.5, 0, 4);
    private static final int WHOLE_MACHINE_CPUS = 16;
    private static final int GANG_TASKS = 4;
    private static final int ARRAYS_PER_URGENT_JOB = 10;
    private static final double URGENT_SECONDS = 5;
    private static final double CANCELLED_SHARE = 0.02;
    private static final long RETRY_MICROS = Micros.SECOND;
    private static final long GIVE_UP_MICROS = 60 * Micros.SECOND;
    private static final long POLL_MICROS = 5 * Micros.SECOND;
    private static final long ANSWER_MICROS = 5 * Micros.SECOND;
    private static final long POLL_ANSWER_MICROS = 2 * Micros.SECOND;
    private static final long HEALTH_MICROS = Micros.SECOND;
    private static final String IMAGE = "image-1";
    private static final double IMAGE_GB = 0.1;

    /** A job of these users. */
    private static final class UserJob {
        final JobSpec spec;
        final byte[] body;
        final boolean urgent;
        final Set<Integer> left = new HashSet<>();
        long submittedMicros;
        boolean accepted;
        boolean started;
        boolean over;
        long doneMicros = -1;

        UserJob(JobSpec spec, boolean urgent) {
            this.spec = spec;
            this.urgent = urgent;
            this.body = UserSideCodec.submission(spec);
            for (int task = 0; task < spec.taskCount(); task++) {
                left.add(task);
            }
        }
    }

    private final ActorExecutor loop;
    private final ScalePlan plan;
    private final List<Http> controllers;
    private final boolean[] healthy;
    private final InvariantChecker checker;
    private final BiConsumer<String, byte[]> uploads;
    private final Random random;
    private final Map<String, UserJob> jobs = new HashMap<>();
    private final Histogram accepting = Traffic.histogram();
    private final Histogram urgentStart = Traffic.histogram();
    private final Histogram told = Traffic.histogram();
    private boolean submitting = true;
    private boolean measuring;
    private int lastJob;
    private int refused;
    private int arrays;

    /** @param uploads takes each job's id and its description on the wire, before it is submitted: workers obtain it from there */
    ScaleUsers(
            ActorExecutor loop,
            ScalePlan plan,
            List<Http> controllers,
            InvariantChecker checker,
            BiConsumer<String, byte[]> uploads) {
        this.loop = loop;
        this.plan = plan;
        this.controllers = controllers;
        this.healthy = new boolean[controllers.size()];
        this.checker = checker;
        this.uploads = uploads;
        this.random = new Random(plan.seed());
        probe();
    }

    /** The job as its user uploaded it for workers, null if nobody submitted it. */
    JobSpec described(String id) {
        UserJob job = jobs.get(id);
        return job == null ? null : job.spec;
    }

    /** Gangs at once, then arrays one after the other. */
    void begin() {
        for (int i = 0; i < plan.gangs(); i++) {
            submit(gang(), false);
        }
        next();
    }

    void measure(boolean from) {
        measuring = from;
    }

    /** No further jobs; those that are open are asked for until they are over. */
    void end() {
        submitting = false;
    }

    int healthyControllers() {
        int count = 0;
        for (boolean each : healthy) {
            count += each ? 1 : 0;
        }
        return count;
    }

    int submitted() {
        return jobs.size();
    }

    /** Jobs that no controller accepted within a minute. */
    int refused() {
        return refused;
    }

    int open() {
        return (int)
                jobs.values().stream().filter(job -> job.accepted && !job.over).count();
    }

    Histogram accepting() {
        return accepting;
    }

    Histogram urgentStart() {
        return urgentStart;
    }

    Histogram told() {
        return told;
    }

    // ---- what workers show

    void started(String task) {
        UserJob job = jobs.get(task.substring(0, task.indexOf('/')));
        if (job != null && !job.started) {
            job.started = true;
            if (job.urgent) {
                record(urgentStart, loop.now() - job.submittedMicros);
            }
        }
    }

    void done(String task) {
        int slash = task.indexOf('/');
        UserJob job = jobs.get(task.substring(0, slash));
        if (job != null && job.left.remove(Integer.parseInt(task.substring(slash + 1))) && job.left.isEmpty()) {
            job.doneMicros = loop.now();
        }
    }

    private void record(Histogram histogram, long micros) {
        if (measuring) {
            histogram.recordValue(Math.min(Traffic.MOST_MICROS, Math.max(1, micros)));
        }
    }

    // ---- jobs

    private void next() {
        if (!submitting) {
            return;
        }
        double seconds = -StrictMath.log(1 - random.nextDouble()) / plan.jobsPerSecond();
        loop.executeLater(
                () -> {
                    if (submitting) {
                        submit(array(), false);
                        if (arrays++ % ARRAYS_PER_URGENT_JOB == 0) {
                            submit(urgent(), true);
                        }
                        next();
                    }
                },
                Micros.ofSeconds(seconds));
    }

    private JobSpec array() {
        return spec("array", JobKind.ARRAY, Priority.NORMAL, plan.tasksPerJob(), TASK, plan.taskSeconds());
    }

    private JobSpec urgent() {
        return spec("urgent", JobKind.ARRAY, Priority.HIGH, 1, TASK, URGENT_SECONDS);
    }

    private JobSpec gang() {
        Resources machine = Resources.of(WHOLE_MACHINE_CPUS, 0, 1);
        return spec("gang", JobKind.GANG, Priority.NORMAL, GANG_TASKS, machine, plan.taskSeconds());
    }

    private JobSpec spec(String jobClass, JobKind kind, Priority priority, int tasks, Resources each, double seconds) {
        return new JobSpec(
                String.format("wk-%06d", ++lastJob),
                jobClass,
                ScaleSettings.team(random.nextInt(plan.teams())),
                kind,
                priority,
                tasks,
                each,
                IMAGE,
                IMAGE_GB,
                List.of(),
                null,
                false,
                false,
                true,
                Micros.ofSeconds(seconds),
                0,
                0,
                -1);
    }

    private void submit(JobSpec spec, boolean urgent) {
        UserJob job = new UserJob(spec, urgent);
        jobs.put(spec.id(), job);
        uploads.accept(spec.id(), job.body);
        checker.jobSubmitted(spec.id(), spec.taskCount(), false);
        checker.jobDescribed(spec);
        job.submittedMicros = loop.now();
        send(job);
    }

    private void send(UserJob job) {
        long asked = loop.now();
        checker.asks(job.spec.id());
        controller().post("/v1/jobs", job.body, ANSWER_MICROS, reply -> {
            heard(job, asked, reply);
            if (reply.status() == 200 || reply.status() == 201) {
                job.accepted = true;
                record(accepting, loop.now() - job.submittedMicros);
                loop.executeLater(() -> poll(job), POLL_MICROS);
                if (random.nextDouble() < CANCELLED_SHARE) {
                    loop.executeLater(() -> cancel(job), Micros.ofSeconds(random.nextDouble() * plan.taskSeconds()));
                }
            } else if (reply.status() == 400 || reply.status() == 422) {
                throw new IllegalStateException("a job of the scale run was refused with " + reply.status());
            } else if (loop.now() - job.submittedMicros < GIVE_UP_MICROS) {
                loop.executeLater(() -> send(job), RETRY_MICROS);
            } else {
                refused++;
            }
        });
    }

    private void poll(UserJob job) {
        if (job.over) {
            return;
        }
        long asked = loop.now();
        checker.asks(job.spec.id());
        controller().get("/v1/jobs/" + job.spec.id(), POLL_ANSWER_MICROS, reply -> {
            String standing = heard(job, asked, reply);
            if (UserSideCodec.isFinished(standing)) {
                if (UserSideCodec.isDone(standing) && !job.over && job.doneMicros >= 0) {
                    record(told, loop.now() - job.doneMicros);
                }
                job.over = true;
            } else {
                loop.executeLater(() -> poll(job), POLL_MICROS);
            }
        });
    }

    private void cancel(UserJob job) {
        if (job.over) {
            return;
        }
        long asked = loop.now();
        checker.cancels(job.spec.id());
        controller().post("/v1/jobs/" + job.spec.id() + "/abort", new byte[0], ANSWER_MICROS, reply -> {
            if (UserSideCodec.isFinished(heard(job, asked, reply))) {
                job.over = true;
            } else {
                loop.executeLater(() -> cancel(job), RETRY_MICROS);
            }
        });
    }

    private String heard(UserJob job, long asked, Reply reply) {
        String standing = reply.status() == 200 || reply.status() == 201 ? UserSideCodec.state(reply.body()) : null;
        checker.responseReceived(job.spec.id(), asked, reply.status(), standing);
        return standing;
    }

    // ---- which controller

    private Http controller() {
        List<Http> usable = new ArrayList<>();
        for (int i = 0; i < healthy.length; i++) {
            if (healthy[i]) {
                usable.add(controllers.get(i));
            }
        }
        List<Http> from = usable.isEmpty() ? controllers : usable;
        return from.get(random.nextInt(from.size()));
    }

    private void probe() {
        for (int i = 0; i < healthy.length; i++) {
            int number = i;
            controllers.get(i).get("/healthz", HEALTH_MICROS, reply -> healthy[number] = reply.ok());
        }
        loop.executeLater(this::probe, HEALTH_MICROS);
    }
}
