package io.micatide.scheduler;

import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Jobs whose stored records still say open although one of their dependencies was cancelled. That they are cancelled
 * follows from the records of the others; their own are closed for whoever reads only those.
 */
final class DependencyCancellations {
    private final Map<String, OpenRecord> openRecords = new LinkedHashMap<>();

    private record OpenRecord(long version, StoredRecord.JobRecord record) {}

    /** @param record as it is stored now, with its version */
    void add(String jobId, StoredRecord.JobRecord record, long version) {
        openRecords.put(jobId, new OpenRecord(version, record));
    }

    /** The job's record is closed, or is to stay as it is. */
    void remove(String jobId) {
        openRecords.remove(jobId);
    }

    boolean contains(String jobId) {
        return openRecords.containsKey(jobId);
    }

    /**
     * Adds the closed records to a batch.
     *
     * @param maxWrites how many writes the batch may have
     * @param checkedAgainstArchive what the records say of their writer
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

    /** The job never started, so nobody has to know what its tasks take: the description goes. */
    private static StoredRecord.JobRecord cancelledRecord(StoredRecord.JobRecord open, boolean checkedAgainstArchive) {
        return new StoredRecord.JobRecord(JobState.CANCELLED, null, open.submittedWall(), open.taskCount())
                .withCheckedAgainstArchive(checkedAgainstArchive);
    }
}
