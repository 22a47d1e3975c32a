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
 * Finished jobs that still have a record: candidates for the next run, and those whose record may be deleted.
 *
 * <p>Invariant: a record becomes removable only if its job is in a run that the manifest names, as a copy of the records shows that was
 * read after the manifest named it.
 */
final class JobRecordRemoval {
    /** Most jobs in a run of new jobs: as many as a small heap holds easily. */
    private static final int MAX_JOBS_PER_RUN = 4_096;

    private final int batchSize;
    /** Ids of the jobs that this leader has archived, with the version of the manifest that named them first. */
    private final Map<String, Long> archivedAtVersion = new HashMap<>();

    private final Map<String, Archiver.ArchivableJob> removable = new LinkedHashMap<>();
    private List<Archiver.ArchivableJob> candidates = List.of();
    private boolean isBatchReady;

    JobRecordRemoval(int batchSize) {
        this.batchSize = batchSize;
    }

    /**
     * Replaces the candidates by those of a newer copy of the records.
     *
     * @param isRemovable whether an archived job's record may be deleted
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

    /** Whether the manifest named the job by the given version of it. */
    boolean isArchivedAt(String id, long manifestVersion) {
        Long archivedAt = archivedAtVersion.get(id);
        return archivedAt != null && manifestVersion >= archivedAt;
    }

    boolean hasBatch() {
        return isBatchReady && !candidates.isEmpty();
    }

    /** The jobs of the next run; {@link #hasBatch} is false until candidates are offered again. */
    List<Archiver.ArchivableJob> takeBatch() {
        isBatchReady = false;
        return candidates.subList(0, Math.min(candidates.size(), MAX_JOBS_PER_RUN));
    }

    /** The manifest names a run with these jobs, from this version of it on. */
    void jobsArchived(List<Archiver.ArchivableJob> jobs, long manifestVersion) {
        jobs.forEach(job -> archivedAtVersion.put(job.id(), manifestVersion));
        candidates = List.of();
    }

    boolean hasRemovable() {
        return !removable.isEmpty();
    }

    /**
     * The deletes of as many records as fit. Dependency records go before the job's record or with it: a job's record without them would
     * be a job that nobody can read.
     *
     * @param leadership the condition that the leader still leads
     * @return null if nothing fits
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

    /** A key under {@link StoreKeys#JOBS} is gone from the store; that of a dependency record changes nothing here. */
    void keyDeleted(String key) {
        String id = key.substring(StoreKeys.JOBS.length());
        if (id.indexOf('/') < 0) {
            removable.remove(id);
            archivedAtVersion.remove(id);
        }
    }
}
