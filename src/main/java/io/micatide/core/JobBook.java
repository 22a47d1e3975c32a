package io.micatide.core;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ledgers of all open jobs and the rounds that write them.
 *
 * <p>A write whose answer was lost may be applied minutes later. So every value is written on condition that it is as
 * we last knew it, and a machine counts as recorded only if it is so by every outcome that the last write can have.
 */
final class JobBook {
    /** Longest time that finished tasks of a job wait to be recorded together. */
    private static final long GATHER_MICROS = Micros.SECOND;
    private static final int MOST_BYTES = 40_000;

    private final Settings settings;
    private final long token;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> dirty = new LinkedHashMap<>();
    /** How many jobs of each class this leader has seen. */
    private final Multiset<String> seenOfClass = HashMultiset.create();

    JobBook(Settings settings, long token) {
        this.settings = settings;
        this.token = token;
    }

    /** What a round writes of one job; {@code machines} is the set that the new ledger names. */
    record Part(Job job, boolean over, Set<String> machines, List<Integer> pages, Map<Integer, BitSet> done) {
    }

    /** One transaction and what it means. {@code bookings} are the rentals written along with it. */
    record Round(Transaction transaction, List<Part> parts, List<Rentals.Booking> bookings) {
    }

    Collection<Job> jobs() {
        return jobs.values();
    }

    int countOf(String jobClass) {
        return seenOfClass.count(jobClass);
    }

    Job get(String id) {
        return jobs.get(id);
    }

    Job add(JobSpec spec, long version, long submittedWall, long submittedMicros) {
        Job job = new Job(spec, version, submittedWall, submittedMicros);
        seenOfClass.add(spec.jobClass());
        jobs.put(spec.id(), job);
        return job;
    }

    static String jobOf(String ledgerKey) {
        String rest = ledgerKey.substring(StoreKeys.LEDGERS.length());
        int slash = rest.indexOf('/');
        return slash < 0 ? rest : rest.substring(0, slash);
    }

    private static int pageOf(String ledgerKey) {
        int slash = ledgerKey.indexOf('/', StoreKeys.LEDGERS.length());
        return slash < 0 ? 0 : Integer.parseInt(ledgerKey.substring(slash + 1));
    }

    /** Takes over a ledger value of an earlier leader; false if it belongs to no job that is known. */
    boolean load(String key, Row.Ledger ledger, long version) {
        Job job = jobs.get(jobOf(key));
        if (job == null) {
            return false;
        }
        int page = pageOf(key);
        adopt(job, page, ledger, version);
        if (page == 0) {
            job.unsettledMachines.addAll(ledger.machines());
        }
        return true;
    }

    private void adopt(Job job, int page, Row.Ledger ledger, long version) {
        job.pageVersions.put(page, version);
        BitSet done = new BitSet();
        Ranges.parseInto(ledger.done(), page * settings.pageTasks(), done);
        job.adopt(done);
        if (page == 0) {
            job.recordedMachines = new HashSet<>(ledger.machines());
            job.gangAttempt = Math.max(job.gangAttempt, ledger.gangAttempt());
        }
    }

    void touch(Job job, long nowMicros) {
        if (job.dirtySinceMicros < 0) {
            job.dirtySinceMicros = nowMicros;
        }
        dirty.putIfAbsent(job.id(), job);
    }

    void finished(Job job, int index, long nowMicros) {
        if (job.finish(index)) {
            job.dirtyPages.set(index / settings.pageTasks());
            touch(job, nowMicros);
        }
    }

    /** Starts wait for this: the ledger must name the machine before anything can land on it. */
    void needMachine(Job job, Machine machine, long nowMicros) {
        if (!job.recordedMachines.contains(machine.name)) {
            job.neededMachines.add(machine.name);
            touch(job, nowMicros);
        }
    }

    /** Says which further machines a job's ledger should name. */
    @FunctionalInterface
    interface Likely {
        List<String> machines(Job job, int most);
    }

    /**
     * The next round, or null if nothing is worth writing; {@code mostWrites} is what the rate leaves, of which
     * {@code reserve} are for what starts or ends a job: finished tasks can wait at their workers.
     */
    Round nextRound(long nowMicros, int mostWrites, int reserve, List<Rentals.Booking> bookings,
            List<Transaction.Write> extra, Likely likely) {
        List<Transaction.Compare> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>(extra);
        conditions.add(new Transaction.Compare(StoreKeys.LEADER, token));
        int most = Math.min(mostWrites, settings.transactionOps());
        int bytes = extra.size() * 200;
        List<Part> parts = new ArrayList<>();
        for (int pass = 0; pass < 2; pass++) {
            boolean urgentPass = pass == 0;
            for (Job job : dirty.values()) {
                boolean urgent = !job.neededMachines.isEmpty() || job.allFinished() || job.cancelled;
                boolean due = urgent || nowMicros - job.dirtySinceMicros >= GATHER_MICROS;
                if (job.writing || urgent != urgentPass || !due) {
                    continue;
                }
                int before = writes.size();
                Part part = part(job, conditions, writes, urgent ? most : most - reserve, MOST_BYTES - bytes, likely);
                if (part == null) {
                    continue;
                }
                parts.add(part);
                for (Transaction.Write write : writes.subList(before, writes.size())) {
                    bytes += sizeOf(write);
                }
            }
        }
        if (writes.isEmpty()) {
            return null;
        }
        for (Part part : parts) {
            part.job().writing = true;
            part.job().recordedMachines.retainAll(part.machines());
            dirty.remove(part.job().id());
        }
        return new Round(new Transaction(conditions, writes), parts, bookings);
    }

    private static int sizeOf(Transaction.Write write) {
        if (write.row() instanceof Row.Ledger ledger) {
            return 200 + ledger.done().length() + 16 * ledger.machines().size();
        }
        return 300;
    }

    private Part part(Job job, List<Transaction.Compare> conditions, List<Transaction.Write> writes, int most,
            int mostBytes, Likely likely) {
        if (job.allFinished() || job.cancelled) {
            return lastPart(job, conditions, writes, most);
        }
        Set<String> machines = new HashSet<>(job.neededMachines);
        machines.addAll(job.unsettledMachines);
        machines.addAll(job.liveMachines.elementSet());
        machines.addAll(likely.machines(job, settings.valueBytes() / 64));
        List<Integer> pages = new ArrayList<>();
        pages.add(0);
        for (int page = job.dirtyPages.nextSetBit(1); page >= 0; page = job.dirtyPages.nextSetBit(page + 1)) {
            pages.add(page);
        }
        while (pages.size() > most - writes.size() && pages.size() > 1) {
            pages.remove(pages.size() - 1);
        }
        if (writes.size() + pages.size() > most) {
            return null;
        }
        int size = settings.pageTasks();
        Map<Integer, BitSet> done = new HashMap<>();
        List<Transaction.Write> own = new ArrayList<>();
        int bytes = 0;
        for (int page : List.copyOf(pages)) {
            String text = Ranges.format(job.finished, page * size, (page + 1) * size);
            if (page > 0 && bytes + text.length() > MOST_BYTES / 2) {
                // A job in many pieces fills a transaction by itself; the rest of it goes with the next round.
                pages.remove(Integer.valueOf(page));
                continue;
            }
            BitSet bits = (BitSet) job.finished.clone();
            bits.clear(0, page * size);
            bits.clear((page + 1) * size, Math.max(bits.length(), (page + 1) * size));
            done.put(page, bits);
            own.add(new Transaction.Write(StoreKeys.ledger(job.id(), page), new Row.Ledger(
                    page == 0 ? List.copyOf(machines) : List.of(), page == 0 ? job.gangAttempt : 0, text), 0));
            bytes += sizeOf(own.get(own.size() - 1));
        }
        if (bytes > mostBytes && !writes.isEmpty()) {
            return null;
        }
        // Without this a write that arrives after the job's end would bring its ledger back: both are absent then.
        conditions.add(new Transaction.Compare(StoreKeys.job(job.id()), job.version));
        for (int page : pages) {
            conditions.add(new Transaction.Compare(StoreKeys.ledger(job.id(), page),
                    job.pageVersions.getOrDefault(page, 0L)));
        }
        writes.addAll(own);
        return new Part(job, false, machines, pages, done);
    }

    /** Completion, and the end of a cancelled job once nothing of it can be on a machine. */
    private Part lastPart(Job job, List<Transaction.Compare> conditions, List<Transaction.Write> writes, int most) {
        List<Integer> pages = new ArrayList<>(job.pageVersions.keySet());
        while (pages.size() + 1 > settings.transactionOps()) {
            // What is left over is removed by the leader that finds it without an open job.
            pages.remove(pages.size() - 1);
        }
        if (writes.size() + pages.size() + 1 > Math.max(most, writes.isEmpty() ? pages.size() + 1 : 0)) {
            return null;
        }
        if (!job.cancelled) {
            conditions.add(new Transaction.Compare(StoreKeys.job(job.id()), job.version));
            writes.add(new Transaction.Write(StoreKeys.job(job.id()),
                    new Row.JobRow(JobState.DONE, null, job.submittedWall, job.spec.tasks()), 0));
        } else if (pages.isEmpty()) {
            jobs.remove(job.id());
            return null;
        }
        for (int page : pages) {
            conditions.add(new Transaction.Compare(StoreKeys.ledger(job.id(), page), job.pageVersions.get(page)));
            writes.add(new Transaction.Write(StoreKeys.ledger(job.id(), page), null, 0));
        }
        return new Part(job, true, Set.of(), pages, Map.of());
    }

    /** The round is in the state service: machines are recorded, finishes may be forgotten, starts may go out. */
    void confirmed(Round round, long revision, long nowMicros) {
        for (Part part : round.parts()) {
            Job job = part.job();
            job.writing = false;
            if (part.over()) {
                jobs.remove(job.id());
                dirty.remove(job.id());
                continue;
            }
            for (int page : part.pages()) {
                job.pageVersions.put(page, revision);
                job.recorded.or(part.done().get(page));
            }
            job.recordedMachines = new HashSet<>(part.machines());
            settleAfterWrite(job, nowMicros);
        }
    }

    private void settleAfterWrite(Job job, long nowMicros) {
        job.neededMachines.removeAll(job.recordedMachines);
        for (List<Placement> list : job.live.values()) {
            for (Placement placement : list) {
                if (placement.phase == Placement.Phase.HELD) {
                    if (job.recordedMachines.contains(placement.machine.name)) {
                        placement.phase = Placement.Phase.READY;
                    } else {
                        job.neededMachines.add(placement.machine.name);
                    }
                }
            }
        }
        job.dirtyPages.clear();
        job.dirtySinceMicros = -1;
        int size = settings.pageTasks();
        BitSet unrecorded = (BitSet) job.finished.clone();
        unrecorded.andNot(job.recorded);
        for (int i = unrecorded.nextSetBit(0); i >= 0; i = unrecorded.nextSetBit((i / size + 1) * size)) {
            job.dirtyPages.set(i / size);
        }
        if (!job.dirtyPages.isEmpty() || !job.neededMachines.isEmpty() || job.allFinished() || job.cancelled) {
            touch(job, nowMicros);
        }
    }

    /** The keys whose values must be read before their jobs are written again: the outcome is not known. */
    List<String> unresolved(Round round) {
        List<String> keys = new ArrayList<>();
        for (Transaction.Compare compare : round.transaction().conditions()) {
            if (!compare.key().equals(StoreKeys.LEADER)) {
                keys.add(compare.key());
            }
        }
        return keys;
    }

    /** A value as read back after a round without a certain outcome; {@code ledger} null if there is none. */
    void readBack(String key, Row.Ledger ledger, long version) {
        Job job = jobs.get(jobOf(key));
        int page = pageOf(key);
        if (job == null) {
            return;
        }
        if (ledger == null) {
            job.pageVersions.remove(page);
            if (page == 0) {
                job.recordedMachines.clear();
            }
        } else if (version != job.pageVersions.getOrDefault(page, 0L)) {
            adopt(job, page, ledger, version);
        }
    }

    /** Every value of the round was read back: its jobs may be written again. */
    void resolved(Round round, long nowMicros) {
        for (Part part : round.parts()) {
            part.job().writing = false;
            if (jobs.containsKey(part.job().id())) {
                settleAfterWrite(part.job(), nowMicros);
                touch(part.job(), nowMicros);
            }
        }
    }

    void drop(Job job) {
        jobs.remove(job.id());
        dirty.remove(job.id());
    }
}
