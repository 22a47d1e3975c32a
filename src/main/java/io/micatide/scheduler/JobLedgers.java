package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.store.MachineNameCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.TaskRanges;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The ledgers of all open jobs and the rounds that write them.
 *
 * <p>A write whose answer was lost may be applied minutes later. So every value is written on condition that it is as
 * we last knew it, and a machine counts as recorded only if it is so by every outcome that the last write can have.
 */
final class JobLedgers {
    /** Longest time that finished tasks of a job wait to be recorded together. */
    private static final long GATHER_MICROS = Micros.SECOND;

    private static final int MOST_BYTES = 40_000;
    /** What a ledger value takes besides names and ranges. */
    private static final int LEDGER_BYTES = 64;
    /** What one name takes besides its letters. */
    private static final int NAME_BYTES = 3;
    /** More than a name takes in short beside others, even with thousands of machines between them. */
    private static final int DENSE_NAME_BYTES = 5;

    private static final long REFUSED_PAUSE_MICROS = 5 * Micros.SECOND;

    private final Settings settings;
    private final long fencingToken;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> dirty = new LinkedHashMap<>();
    /** How many jobs of each class this leader has seen. */
    private final Multiset<String> seenOfClass = HashMultiset.create();

    private long layoutVersion;
    private boolean checked;
    /** By the settings, until the mark says with what size the stored pages were written. */
    private int pageTasks;
    /** Jobs whose rows still say open although something that they need was cancelled, with the rows' versions. */
    private final Map<String, Withdrawal> withdrawals = new LinkedHashMap<>();

    /** Jobs by the machines that hold them up after a take-over. */
    private final Map<String, List<Job>> unsettledOn = new HashMap<>();
    /** Keys for which a round was refused and that are still to be read back, by their jobs. */
    private final Map<String, Set<String>> unknownKeys = new HashMap<>();

    /** A row to close. That the job is withdrawn follows from the others' rows, so this is for whoever reads only rows. */
    private record Withdrawal(String id, long version, StoredRecord.JobRecord row) {}

    JobLedgers(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
        this.pageTasks = settings.pageTasks();
    }

    /** What a round writes of one job; {@code machines} is the set that the new ledger names. */
    record JobWrite(Job job, boolean last, Set<String> machines, List<Integer> pages, Map<Integer, BitSet> done) {}

    /** One transaction and what it means. {@code provisioningRequests} are the rentals written along with it. */
    record WriteBatch(
            Transaction transaction,
            List<JobWrite> jobWrites,
            List<ProvisioningRequests.Request> provisioningRequests,
            List<String> withdrawals) {}

    Collection<Job> jobs() {
        return jobs.values();
    }

    int countOf(String jobClass) {
        return seenOfClass.count(jobClass);
    }

    Job get(String id) {
        return jobs.get(id);
    }

    Job add(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        Job job = new Job(spec, version, submittedWall, submittedMicros, readyMicros);
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
    boolean load(String key, StoredRecord.Ledger ledger, long version) {
        Job job = jobs.get(jobOf(key));
        if (job == null) {
            return false;
        }
        int page = pageOf(key);
        adopt(job, page, ledger, version);
        if (page == 0) {
            job.unreconciledMachines.addAll(ledger.machines());
            ledger.machines()
                    .forEach(machine -> unsettledOn
                            .computeIfAbsent(machine, k -> new ArrayList<>())
                            .add(job));
        }
        return true;
    }

    /**
     * Nothing that an earlier leader sent can appear on this machine any more. Returns the open jobs that it was the last to hold up. Asking
     * every job for every machine took a million looks in the seconds after a take-over of a thousand machines.
     */
    List<Job> reconcileMachine(String machine) {
        List<Job> result = new ArrayList<>();
        for (Job job : Objects.requireNonNullElse(unsettledOn.remove(machine), List.<Job>of())) {
            if (job.unreconciledMachines.remove(machine)
                    && !job.hasUnreconciledMachines()
                    && jobs.get(job.id()) == job) {
                result.add(job);
            }
        }
        return result;
    }

    private void adopt(Job job, int page, StoredRecord.Ledger ledger, long version) {
        job.pageVersions.put(page, version);
        BitSet done = new BitSet();
        TaskRanges.parseInto(ledger.finishedTasks(), page * pageTasks, done);
        job.addRecordedTasks(done);
        if (page == 0) {
            job.ledgerMachines = new HashSet<>(ledger.machines());
            job.gangAttempt = Math.max(job.gangAttempt, ledger.gangAttempt());
        }
    }

    void markDirty(Job job, long nowMicros) {
        if (job.dirtySinceMicros < 0) {
            job.dirtySinceMicros = nowMicros;
        }
        dirty.putIfAbsent(job.id(), job);
    }

    void taskFinished(Job job, int index, long nowMicros) {
        if (job.markFinished(index)) {
            job.dirtyPages.set(index / pageTasks);
            markDirty(job, nowMicros);
        }
    }

    /** What is written of a job that went with one that it needs; {@code row} as it is stored now. */
    void cancelBeforeStart(String id, StoredRecord.JobRecord row, long version) {
        withdrawals.put(id, new Withdrawal(id, version, row));
    }

    void cancelledBeforeStart(String id) {
        withdrawals.remove(id);
    }

    /** Whether nothing of a job that is over is left to do: no task of it can run, no ledger of it is stored. */
    boolean mayBeArchived(String id) {
        return !jobs.containsKey(id) && !withdrawals.containsKey(id);
    }

    /** There is an archive: rows say that their writers know it. */
    void archiveEnabled() {
        checked = true;
    }

    /** The mark that every controller reads names in short: a condition of each round that writes them so. */
    void layoutMarked(long version, int tasksOfAPage) {
        layoutVersion = version;
        pageTasks = tasksOfAPage;
    }

    int pageTasks() {
        return pageTasks;
    }

    private boolean dense() {
        return layoutVersion > 0;
    }

    private int bytes(Collection<String> names) {
        if (dense()) {
            return MachineNameCodec.compressedBytes(names);
        }
        int bytes = 0;
        for (String name : names) {
            bytes += name.length() + NAME_BYTES;
        }
        return bytes;
    }

    /** The part of the first page that names machines. Finished ranges have the rest, and what the names leave. */
    private int nameBytes() {
        return (settings.maxWritableValueBytes() - LEDGER_BYTES) * 5 / 8;
    }

    /** Machines that the ledger must name whatever else it says. */
    private static Set<String> mustName(Job job) {
        Set<String> machines = new HashSet<>(job.machinesToRecord);
        machines.addAll(job.unreconciledMachines);
        machines.addAll(job.liveMachines.elementSet());
        return machines;
    }

    /**
     * Whether the job may be placed on one more machine. No name is ever dropped to make a ledger fit: take-overs rest on
     * them. So a job uses no more machines than its ledger can name.
     */
    boolean mayRecordMachine(Job job, Machine machine, long nowMicros) {
        if (job.ledgerMachines.contains(machine.name) || job.machinesToRecord.contains(machine.name)) {
            return true;
        }
        if (nowMicros < job.ledgerFullUntilMicros) {
            return false;
        }
        int each = dense() ? DENSE_NAME_BYTES : machine.name.length() + NAME_BYTES;
        int most = nameBytes() - each;
        int upperBound = job.machinesToRecord.size()
                + job.unreconciledMachines.size()
                + job.liveMachines.elementSet().size();
        if (upperBound * each <= most) {
            return true;
        }
        // Exactly, once per plan; what is added meanwhile is counted as if it stood alone.
        if (job.ledgerNameBytesMicros != nowMicros) {
            job.ledgerNameBytesMicros = nowMicros;
            job.ledgerNameBytes = bytes(mustName(job)) - each * job.machinesToRecord.size();
        }
        return job.ledgerNameBytes + each * job.machinesToRecord.size() <= most;
    }

    /** Whether a job with waiting tasks is on as many machines as its ledger can name. */
    boolean isFull(Job job) {
        return job.pendingCount() > 0 && bytes(mustName(job)) > nameBytes() - 16;
    }

    /** Starts wait for this: the ledger must name the machine before anything can land on it. */
    void recordMachine(Job job, Machine machine, long nowMicros) {
        if (!job.ledgerMachines.contains(machine.name)) {
            job.machinesToRecord.add(machine.name);
            markDirty(job, nowMicros);
        }
    }

    /** Says which further machines a job's ledger should name. */
    @FunctionalInterface
    interface Likely {
        List<String> machines(Job job, int most);
    }

    /**
     * The next round, or null if nothing is worth writing; {@code mostWrites} is what the rate leaves for what starts or ends
     * a job, {@code mostLater} what it leaves for the rest: finished tasks can wait at their workers.
     */
    WriteBatch nextWriteBatch(
            long nowMicros,
            long wallMicros,
            int mostWrites,
            int mostLater,
            List<ProvisioningRequests.Request> bookings,
            List<Transaction.Write> extra,
            List<Transaction.Condition> extraConditions,
            Likely likely) {
        List<Transaction.Condition> conditions = new ArrayList<>(extraConditions);
        List<Transaction.Write> writes = new ArrayList<>(extra);
        conditions.add(new Transaction.Condition(StoreKeys.LEADER, fencingToken));
        int most = Math.min(mostWrites, settings.maxTransactionWrites());
        int bytes = extra.size() * 200;
        List<JobWrite> parts = new ArrayList<>();
        // Whatever else made it dirty, a cancelled job stays open here and its ledger in the store until nothing
        // of
        // it can be on a machine.
        // It once went with the next round that came for a finished task or a needed machine: what went on on a hung or
        // cut-off machine
        // counted for no team any more, neither here nor for the next leader, and teams at their limits started too
        // much (quota).
        dirty.values().removeIf(job -> job.cancelled && job.mayBeRunning());
        List<Job> candidates = List.copyOf(dirty.values());
        for (int pass = 0; pass <= LAST_PASS; pass++) {
            for (Job job : candidates) {
                int due = pass(job);
                if (job.writeInFlight
                        || due != pass
                        || nowMicros < job.nextWriteMicros
                        || (due == LAST_PASS && nowMicros - job.dirtySinceMicros < GATHER_MICROS)) {
                    continue;
                }
                int before = writes.size();
                JobWrite part = part(
                        job,
                        conditions,
                        writes,
                        due == LAST_PASS ? mostLater : most,
                        MOST_BYTES - bytes,
                        likely,
                        wallMicros);
                if (part == null) {
                    continue;
                }
                parts.add(part);
                for (Transaction.Write write : writes.subList(before, writes.size())) {
                    bytes += sizeOf(write);
                }
            }
        }
        List<String> closed = closeWithdrawn(conditions, writes, mostLater);
        if (writes.isEmpty()) {
            return null;
        }
        for (JobWrite part : parts) {
            part.job().writeInFlight = true;
            part.job().ledgerMachines.retainAll(part.machines());
            dirty.remove(part.job().id());
        }
        if (dense()
                && writes.stream()
                        .anyMatch(write ->
                                write.record() instanceof StoredRecord.Ledger ledger && ledger.compressedNames())) {
            conditions.add(new Transaction.Condition(StoreKeys.LAYOUT, layoutVersion));
        }
        return new WriteBatch(new Transaction(conditions, writes), parts, bookings, closed);
    }

    private static final int LAST_PASS = 2;

    /** Which jobs are written first: what others wait for, then what starts or ends something, then finished tasks. */
    private static int pass(Job job) {
        if (job.hasDependents && job.allFinished() && !job.cancelled) {
            return 0;
        }
        return !job.machinesToRecord.isEmpty() || job.allFinished() || job.cancelled ? 1 : LAST_PASS;
    }

    private List<String> closeWithdrawn(
            List<Transaction.Condition> conditions, List<Transaction.Write> writes, int most) {
        List<String> closed = new ArrayList<>();
        for (Withdrawal each : withdrawals.values()) {
            if (writes.size() >= most) {
                break;
            }
            if (unknownKeys.containsKey(each.id())) {
                continue;
            }
            conditions.add(new Transaction.Condition(StoreKeys.job(each.id()), each.version()));
            // It never started, so nobody has to know what its tasks take.
            writes.add(new Transaction.Write(
                    StoreKeys.job(each.id()),
                    new StoredRecord.JobRecord(
                                    JobState.CANCELLED,
                                    null,
                                    each.row().submittedWall(),
                                    each.row().taskCount())
                            .withCheckedAgainstArchive(checked),
                    0));
            closed.add(each.id());
        }
        return closed;
    }

    private static int sizeOf(Transaction.Write write) {
        if (write.record() instanceof StoredRecord.Ledger ledger) {
            return 200
                    + ledger.finishedTasks().length()
                    + 16 * ledger.machines().size();
        }
        return 300;
    }

    private JobWrite part(
            Job job,
            List<Transaction.Condition> conditions,
            List<Transaction.Write> writes,
            int most,
            int mostBytes,
            Likely likely,
            long wallMicros) {
        if (job.allFinished() || job.cancelled) {
            return lastPart(job, conditions, writes, most, wallMicros);
        }
        Set<String> machines = mustName(job);
        int room = settings.maxWritableValueBytes() - LEDGER_BYTES;
        BitSet first = TaskRanges.within(
                job.finishedTasks,
                job.recordedTasks,
                0,
                pageTasks,
                room - Math.max(bytes(machines), Math.min(nameBytes(), room / 4)));
        if (first != null && writes.size() >= most) {
            // Known before its machines are named: with hundreds of jobs to write, naming thousands for each of those
            // that a full round leaves over took most of a leader's processor.
            return null;
        }
        List<Integer> pages = new ArrayList<>();
        if (first != null) {
            addLikely(
                    machines,
                    likely.machines(job, nameBytes() / (dense() ? 2 : 8)),
                    Math.min(
                            nameBytes(),
                            room - TaskRanges.format(first, 0, pageTasks).length()));
            pages.add(0);
        } else {
            // What an earlier leader wrote under a larger limit no longer fits. It gets smaller as machines settle and
            // tasks
            // end; until then further machines cannot be named.
            machines = new HashSet<>(job.ledgerMachines);
            job.ledgerFull |= !job.machinesToRecord.isEmpty();
        }
        for (int page = job.dirtyPages.nextSetBit(1); page >= 0; page = job.dirtyPages.nextSetBit(page + 1)) {
            pages.add(page);
        }
        while (pages.size() > most - writes.size() && pages.size() > 1) {
            pages.remove(pages.size() - 1);
        }
        if (pages.isEmpty() || writes.size() + pages.size() > most) {
            return null;
        }
        int size = pageTasks;
        Map<Integer, BitSet> done = new HashMap<>();
        List<Transaction.Write> own = new ArrayList<>();
        int bytes = 0;
        for (int page : List.copyOf(pages)) {
            BitSet bits = page == 0
                    ? first
                    : TaskRanges.within(job.finishedTasks, job.recordedTasks, page * size, (page + 1) * size, room);
            String text = bits == null ? "" : TaskRanges.format(bits, page * size, (page + 1) * size);
            if (bits == null
                    || (page > 0 && bytes + text.length() > MOST_BYTES / 2)
                    || nothingNew(job, page, bits, machines)) {
                // A job in many pieces fills a transaction by itself; the rest of it goes with the next round. What has
                // no room in a value stays with the workers, who report it until it is recorded.
                pages.remove(Integer.valueOf(page));
                continue;
            }
            done.put(page, bits);
            own.add(new Transaction.Write(
                    StoreKeys.ledger(job.id(), page),
                    new StoredRecord.Ledger(
                            page == 0 ? List.copyOf(machines) : List.of(),
                            page == 0 ? job.gangAttempt : 0,
                            text,
                            page == 0 && dense()),
                    0));
            bytes += sizeOf(own.get(own.size() - 1));
        }
        if (pages.isEmpty()) {
            dirty.remove(job.id());
            job.dirtySinceMicros = -1;
            return null;
        }
        if (bytes > mostBytes && !writes.isEmpty()) {
            return null;
        }
        // Without this a write that arrives after the job's end would bring its ledger back: both are absent then.
        conditions.add(new Transaction.Condition(StoreKeys.job(job.id()), job.version));
        for (int page : pages) {
            conditions.add(new Transaction.Condition(
                    StoreKeys.ledger(job.id(), page), job.pageVersions.getOrDefault(page, 0L)));
        }
        writes.addAll(own);
        return new JobWrite(job, false, machines, pages, done);
    }

    private void addLikely(Set<String> machines, List<String> likely, int mostBytes) {
        int bytes = bytes(machines);
        for (String name : likely) {
            if (!machines.contains(name)) {
                bytes += dense() ? DENSE_NAME_BYTES : name.length() + NAME_BYTES;
                if (bytes > mostBytes) {
                    return;
                }
                machines.add(name);
            }
        }
    }

    /** Whether the page would say only what it says already; not so of the first before it was ever written. */
    private static boolean nothingNew(Job job, int page, BitSet bits, Set<String> machines) {
        BitSet news = (BitSet) bits.clone();
        news.andNot(job.recordedTasks);
        return news.isEmpty()
                && (page > 0
                        || (job.pageVersions.containsKey(0)
                                && job.machinesToRecord.isEmpty()
                                && job.ledgerMachines.equals(machines)));
    }

    /** Completion, and the end of a cancelled job once nothing of it can be on a machine. */
    private JobWrite lastPart(
            Job job,
            List<Transaction.Condition> conditions,
            List<Transaction.Write> writes,
            int most,
            long wallMicros) {
        List<Integer> pages = new ArrayList<>(job.pageVersions.keySet());
        while (pages.size() + 1 > settings.maxTransactionWrites()) {
            // What is left over is removed by the leader that finds it without an open job.
            pages.remove(pages.size() - 1);
        }
        if (writes.size() + pages.size() + 1 > Math.max(most, writes.isEmpty() ? pages.size() + 1 : 0)) {
            return null;
        }
        if (!job.cancelled) {
            conditions.add(new Transaction.Condition(StoreKeys.job(job.id()), job.version));
            writes.add(new Transaction.Write(
                    StoreKeys.job(job.id()),
                    new StoredRecord.JobRecord(
                            JobState.DONE, null, job.submittedWall, job.spec.taskCount(), wallMicros, 0, checked),
                    0));
        } else if (pages.isEmpty()) {
            jobs.remove(job.id());
            return null;
        }
        for (int page : pages) {
            conditions.add(new Transaction.Condition(StoreKeys.ledger(job.id(), page), job.pageVersions.get(page)));
            writes.add(new Transaction.Write(StoreKeys.ledger(job.id(), page), null, 0));
        }
        return new JobWrite(job, true, Set.of(), pages, Map.of());
    }

    /** The round is in the state service: machines are recorded, finishes may be forgotten, starts may go out. */
    void writeConfirmed(WriteBatch round, long revision, long nowMicros) {
        round.withdrawals().forEach(withdrawals::remove);
        for (JobWrite part : round.jobWrites()) {
            Job job = part.job();
            job.writeInFlight = false;
            if (part.last()) {
                jobs.remove(job.id());
                dirty.remove(job.id());
                continue;
            }
            for (int page : part.pages()) {
                job.pageVersions.put(page, revision);
                job.recordedTasks.or(part.done().get(page));
            }
            if (part.pages().contains(0)) {
                job.ledgerMachines = new HashSet<>(part.machines());
            }
            settleAfterWrite(job, nowMicros);
        }
    }

    private void settleAfterWrite(Job job, long nowMicros) {
        job.machinesToRecord.removeAll(job.ledgerMachines);
        for (List<Placement> list : job.liveAttempts.values()) {
            for (Placement placement : list) {
                if (placement.phase == Placement.Phase.AWAITING_LEDGER) {
                    if (job.ledgerMachines.contains(placement.machine.name)) {
                        placement.transitionTo(Placement.Phase.READY);
                    } else {
                        job.machinesToRecord.add(placement.machine.name);
                    }
                }
            }
        }
        job.dirtyPages.clear();
        job.dirtySinceMicros = -1;
        int size = pageTasks;
        BitSet unrecorded = (BitSet) job.finishedTasks.clone();
        unrecorded.andNot(job.recordedTasks);
        for (int i = unrecorded.nextSetBit(0); i >= 0; i = unrecorded.nextSetBit((i / size + 1) * size)) {
            job.dirtyPages.set(i / size);
        }
        if (!job.dirtyPages.isEmpty() || !job.machinesToRecord.isEmpty() || job.allFinished() || job.cancelled) {
            markDirty(job, nowMicros);
        }
    }

    /** The keys whose values must be read before their jobs are written again: the outcome is not known. */
    List<String> unresolvedKeys(WriteBatch round) {
        List<String> keys = new ArrayList<>();
        for (Transaction.Condition compare : round.transaction().conditions()) {
            if (!compare.key().equals(StoreKeys.LEADER)
                    && !compare.key().equals(StoreKeys.LAYOUT)
                    && !compare.key().equals(StoreKeys.FEATURE_STAGES)) {
                keys.add(compare.key());
            }
        }
        return keys;
    }

    /** A value as read back after a round without a certain outcome; {@code ledger} null if there is none. */
    void readBack(String key, StoredRecord.Ledger ledger, long version) {
        Job job = jobs.get(jobOf(key));
        int page = pageOf(key);
        if (job == null) {
            return;
        }
        if (ledger == null) {
            job.pageVersions.remove(page);
            if (page == 0) {
                job.ledgerMachines.clear();
            }
        } else if (version != job.pageVersions.getOrDefault(page, 0L)) {
            adopt(job, page, ledger, version);
        }
    }

    /**
     * The state service does not take what the round writes, most likely since its limits fell: its jobs go on without
     * being written for a while, so that neither the others nor the lead depend on them.
     */
    void writeRejected(WriteBatch round, long nowMicros) {
        for (JobWrite part : round.jobWrites()) {
            part.job().nextWriteMicros = nowMicros + REFUSED_PAUSE_MICROS;
            part.job().ledgerFull |= !part.job().machinesToRecord.isEmpty();
        }
        round.withdrawals().forEach(withdrawals::remove);
    }

    /** Every value of the round was read back: its jobs may be written again. */
    void writeResolved(WriteBatch round, long nowMicros) {
        for (JobWrite part : round.jobWrites()) {
            writeResolved(part.job(), nowMicros);
        }
    }

    private void writeResolved(Job job, long nowMicros) {
        job.writeInFlight = false;
        if (jobs.containsKey(job.id())) {
            settleAfterWrite(job, nowMicros);
            markDirty(job, nowMicros);
        }
    }

    /**
     * The round was certainly not executed, since these keys are not as we knew them; whatever else it names still is. The others of its
     * jobs may be written again at once, without those that the keys belong to.
     *
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    List<String> writeConflicted(WriteBatch round, Collection<String> failed, long nowMicros) {
        Set<String> keys = new LinkedHashSet<>(unresolvedKeys(round));
        keys.retainAll(failed);
        Set<String> held = new HashSet<>();
        for (String key : keys) {
            if (Scheduler.isCloudRecord(key)) {
                continue;
            }
            String id = jobOfKey(key);
            held.add(id);
            unknownKeys.computeIfAbsent(id, k -> new HashSet<>()).add(key);
        }
        for (JobWrite part : round.jobWrites()) {
            if (!held.contains(part.job().id())) {
                writeResolved(part.job(), nowMicros);
            }
        }
        return List.copyOf(keys);
    }

    private static String jobOfKey(String key) {
        return key.startsWith(StoreKeys.LEDGERS) ? jobOf(key) : key.substring(StoreKeys.JOBS.length());
    }

    /** A key that a round was refused for has been read back; its job is written again when all of them are. */
    void keyReadBack(String key, long nowMicros) {
        String id = jobOfKey(key);
        Set<String> unknown = unknownKeys.get(id);
        if (unknown != null && unknown.remove(key) && unknown.isEmpty()) {
            unknownKeys.remove(id);
            Job job = jobs.get(id);
            if (job != null) {
                writeResolved(job, nowMicros);
            }
        }
    }

    void drop(Job job) {
        jobs.remove(job.id());
        dirty.remove(job.id());
    }
}
