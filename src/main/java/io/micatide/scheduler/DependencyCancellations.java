package io.micatide.scheduler;

import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Jobs whose stored records are still open although one of their dependencies was cancelled. Controllers derive their
 * cancellation from the records of the dependencies; their own records are changed to cancelled for readers that read
 * only those.
 */
final class DependencyCancellations {
    private final Map<String, OpenRecord> openRecords = new LinkedHashMap<>();

    private record OpenRecord(long version, StoredRecord.JobRecord record) {}

    /**
     * Registers a job whose record must be changed to cancelled.
     *
     * @param record the record as stored, with its version
     */
    void add(String jobId, StoredRecord.JobRecord record, long version) {
        openRecords.put(jobId, new OpenRecord(version, record));
    }

    /** Removes a job whose record was changed to cancelled or need not be changed; does nothing for others. */
    void remove(String jobId) {
        openRecords.remove(jobId);
    }

    boolean contains(String jobId) {
        return openRecords.containsKey(jobId);
    }

    /**
     * Adds the cancelled records to a batch.
     *
     * @param maxWrites number of writes that the batch may have in all
     * @param checkedAgainstArchive whether the records are marked as checked against the archive
     * @param isUnresolved whether the outcome of an earlier write of the job is still unknown
     */
    void addTo(WriteBatchBuilder batch, int maxWrites, boolean checkedAgainstArchive, Predicate<String> isUnresolved) {
        for (Map.Entry<String, OpenRecord> entry : openRecords.entrySet()) {
            if (batch.writeCount() >= maxWrites) {
                return;
            }
            if (!isUnresolved.test(entry.getKey())) {
                OpenRecord open = entry.getValue();
                batch.addCancelledByDependency(
                        entry.getKey(), open.version(), cancelledRecord(open.record(), checkedAgainstArchive));
            }
        }
    }

    /** Returns the cancelled record. It has no job spec: the job never started, so its resources are not needed. */
    private static StoredRecord.JobRecord cancelledRecord(StoredRecord.JobRecord open, boolean checkedAgainstArchive) {
        return new StoredRecord.JobRecord(JobState.CANCELLED, null, open.submittedWall(), open.taskCount())
                .withCheckedAgainstArchive(checkedAgainstArchive);
    }
}
