package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Tracks finished jobs that still have a record: candidates for the next run, and jobs whose record may be deleted.
 *
 * <p>Invariant: a record becomes removable only if its job is in a run that the manifest names, according to a job cache that was read
 * after the manifest was updated to name that run.
 */
final class JobRecordRemoval {
    /** Maximum number of jobs in a run of new jobs, so that they fit a small heap. */
    private static final int MAX_JOBS_PER_RUN = 4_096;

    private final int batchSize;
    /** Version of the manifest that first named the job's run, by id of each job that this leader has archived. */
    private final Map<String, Long> archivedAtVersion = new HashMap<>();

    private final Map<String, Archiver.ArchivableJob> removable = new LinkedHashMap<>();
    private List<Archiver.ArchivableJob> candidates = List.of();
    private boolean isBatchReady;

    JobRecordRemoval(int batchSize) {
        this.batchSize = batchSize;
    }

    /**
     * Replaces the candidates with those found in a newer job cache.
     *
     * @param isRemovable tells whether the record of a job may be deleted since the job is archived
     */
    void offer(
            Collection<Archiver.ArchivableJob> finished,
            Archiver.BatchPolicy policy,
            Predicate<Archiver.ArchivableJob> isRemovable) {
        List<Archiver.ArchivableJob> unarchived = new ArrayList<>();
        for (Archiver.ArchivableJob job : finished) {
            if (job.outcome() == null || isRemovable.test(job)) {
                removable.put(job.id(), job);
            } else if (!archivedAtVersion.containsKey(job.id())) {
                unarchived.add(job);
            }
        }
        candidates = unarchived;
        isBatchReady =
                unarchived.size() >= batchSize || (policy == Archiver.BatchPolicy.ANY_SIZE && !unarchived.isEmpty());
    }

    /** Returns whether this leader archived the job in a run that the manifest of the given version names. */
    boolean isArchivedAt(String id, long manifestVersion) {
        Long archivedAt = archivedAtVersion.get(id);
        return archivedAt != null && manifestVersion >= archivedAt;
    }

    boolean hasBatch() {
        return isBatchReady && !candidates.isEmpty();
    }

    /** Returns the jobs of the next run; {@link #hasBatch} is false until candidates are offered again. */
    List<Archiver.ArchivableJob> takeBatch() {
        isBatchReady = false;
        return candidates.subList(0, Math.min(candidates.size(), MAX_JOBS_PER_RUN));
    }

    /** Notes that the manifest names a run with the given jobs from the given version on. */
    void jobsArchived(List<Archiver.ArchivableJob> jobs, long manifestVersion) {
        jobs.forEach(job -> archivedAtVersion.put(job.id(), manifestVersion));
        candidates = List.of();
    }

    boolean hasRemovable() {
        return !removable.isEmpty();
    }

    /**
     * Returns the deletes of as many records as fit. Dependency records are deleted before the job's record or together with it: without
     * them the job's record could not be read.
     *
     * @param leadership the condition that this controller is still the leader
     * @param maxWrites maximum number of writes in the transaction
     * @return the transaction, or null if nothing fits
     */
    Transaction planRemoval(Transaction.Condition leadership, int maxWrites) {
        List<Transaction.Condition> conditions = new ArrayList<>(List.of(leadership));
        List<Transaction.Write> writes = new ArrayList<>();
        for (Archiver.ArchivableJob job : removable.values()) {
            boolean mayBeSplit = writes.isEmpty() && job.dependencyRecords() > 0;
            if (writes.size() + job.dependencyRecords() + 1 > maxWrites && !mayBeSplit) {
                break;
            }
            conditions.add(new Transaction.Condition(StoreKeys.job(job.id()), job.version()));
            for (int piece = 1; piece <= job.dependencyRecords() && writes.size() < maxWrites; piece++) {
                writes.add(new Transaction.Write(StoreKeys.furtherDependencies(job.id(), piece), null, 0));
            }
            if (writes.size() < maxWrites) {
                writes.add(new Transaction.Write(StoreKeys.job(job.id()), null, 0));
            }
        }
        return writes.isEmpty() ? null : new Transaction(conditions, writes);
    }

    /** Notes that a key under {@link StoreKeys#JOBS} was deleted from the store; the key of a dependency record has no effect. */
    void keyDeleted(String key) {
        String id = key.substring(StoreKeys.JOBS.length());
        if (id.indexOf('/') < 0) {
            removable.remove(id);
            archivedAtVersion.remove(id);
        }
    }
}
