package io.micatide.rehearsal;

import io.micatide.core.ExitCause;
import io.micatide.core.Micros;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what workers did and what users were told against the protocol's rules. Knows nothing of the service: whatever serves can be
 * checked. A task is counted from its start to its end as its machine sees it. Times in microseconds.
 */
public final class RuleChecker implements WorkerStandIn.Witness {
    /** What a user has been told of a job, in the order in which nothing may follow that is further left. */
    private enum Told { NOTHING, ACCEPTED, CANCELLED, DONE }

    private static final class Job {
        final int tasks;
        final boolean service;
        final Set<Integer> finished = new HashSet<>();
        Told told = Told.NOTHING;
        boolean cancelAsked;
        long cancelledMicros = NEVER;
        boolean late;
        /** When its user first heard that it is accepted, and that it is over. */
        long toldMicros = NEVER;
        long overMicros = NEVER;
        /** Since when its user has asked without an answer. */
        long waitsMicros = NEVER;
        boolean forgotten;

        Job(int tasks, boolean service) {
            this.tasks = tasks;
            this.service = service;
        }

        boolean isOver() {
            return told == Told.DONE || told == Told.CANCELLED;
        }
    }

    private static final long NEVER = Long.MAX_VALUE / 2;
    private static final long UNANSWERED_MICROS = 75 * Micros.SECOND;

    private record Run(String machine, long attempt) {
    }

    private final VirtualTime time;
    private final long cancelMicros;
    private long calmMicros = NEVER;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Run> running = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private int starts;

    /** @param cancelMicros how long tasks of a cancelled job may be on machines */
    public RuleChecker(VirtualTime time, long cancelMicros) {
        this.time = time;
        this.cancelMicros = cancelMicros;
    }

    /** Rules broken so far, each with what broke it. */
    public List<String> broken() {
        return List.copyOf(broken);
    }

    public int starts() {
        return starts;
    }

    /** How many tasks of a job are on machines now. */
    public int running(String job) {
        return (int) running.keySet().stream().filter(task -> task.startsWith(job + "/")).count();
    }

    public int running() {
        return running.size();
    }

    private void broke(String rule, String what) {
        broken.add(String.format("%s %s at %.3f s", rule, what, time.now() / 1e6));
    }

    // ---- machines

    @Override
    public void started(String task, long attempt, String machine) {
        starts++;
        Run other = running.put(task, new Run(machine, attempt));
        if (other != null) {
            broke("ran_twice", task + " on " + other.machine() + " and " + machine);
        }
        Job job = jobs.get(task.substring(0, task.indexOf('/')));
        if (job == null) {
            broke("invented", task);
        } else if (time.now() > job.cancelledMicros + cancelMicros) {
            broke("ran_cancelled", task + " starts");
        }
    }

    @Override
    public void over(String task, long attempt, String machine, ExitCause cause) {
        if (running.getOrDefault(task, new Run("", 0)).equals(new Run(machine, attempt))) {
            running.remove(task);
        }
        if (cause == ExitCause.DONE) {
            jobs.get(task.substring(0, task.indexOf('/'))).finished.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
        }
    }

    /** All troubles are over: from now on every job that was accepted has to be answered about. */
    public void calm() {
        calmMicros = time.now();
    }

    /** To be called often: what should be gone by now, and who has waited for too long for an answer? */
    public void look() {
        jobs.forEach((id, job) -> {
            if (job.told != Told.NOTHING && !job.forgotten
                    && time.now() > Math.max(calmMicros, job.waitsMicros) + UNANSWERED_MICROS) {
                broke("forgotten", id + " has been asked for in vain");
                job.forgotten = true;
            }
        });
        for (String task : running.keySet()) {
            Job job = jobs.get(task.substring(0, task.indexOf('/')));
            if (job != null && !job.late && time.now() > job.cancelledMicros + cancelMicros) {
                broke("ran_cancelled", task + " is still there");
                job.late = true;
            }
        }
    }

    // ---- users

    /** A user is about to submit it. */
    public void submits(String id, int tasks, boolean service) {
        jobs.putIfAbsent(id, new Job(tasks, service));
    }

    /** Its user asks how it stands. */
    public void asks(String id) {
        Job job = jobs.get(id);
        job.waitsMicros = Math.min(job.waitsMicros, time.now());
    }

    public void cancels(String id) {
        jobs.get(id).cancelAsked = true;
    }

    /**
     * What a user heard of a job. Two questions of one user may be under way at once, and their answers come in any order: only what was
     * asked after an answer may not be older than it.
     *
     * @param askedMicros when the user asked
     * @param standing the service's word, null without one
     */
    public void heard(String id, long askedMicros, int status, String standing) {
        Job job = jobs.get(id);
        boolean known = job != null && job.told != Told.NOTHING && askedMicros > job.toldMicros;
        if (known && (status == 404 || status == 400 || status == 422)) {
            broke("forgotten", id + " was answered " + status);
        }
        if (status != 200 && status != 201 || standing == null) {
            return;
        }
        if (job == null) {
            broke("invented", id);
            return;
        }
        job.waitsMicros = NEVER;
        Told now = switch (standing) {
            case "done" -> Told.DONE;
            case "withdrawn" -> Told.CANCELLED;
            default -> Told.ACCEPTED;
        };
        if (now == Told.ACCEPTED && job.isOver() && askedMicros <= job.overMicros) {
            return;
        }
        if (job.isOver() && now != job.told) {
            broke("went_back", id + " from " + job.told + " to " + now);
        }
        if (now == Told.CANCELLED && !job.cancelAsked) {
            broke("went_back", id + " was not cancelled by its user");
        }
        if (now == Told.DONE && (job.service || job.finished.size() < job.tasks)) {
            broke("not_done", id + " with " + job.finished.size() + " of " + job.tasks);
        }
        if (now == Told.CANCELLED && job.told != Told.CANCELLED) {
            job.cancelledMicros = time.now();
        }
        if (!job.isOver() && now != Told.ACCEPTED) {
            job.overMicros = time.now();
        }
        job.toldMicros = job.told == Told.NOTHING ? time.now() : job.toldMicros;
        job.told = now;
    }
}
