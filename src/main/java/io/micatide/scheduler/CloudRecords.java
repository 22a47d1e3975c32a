package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Adds the records of calls to the cloud to write batches: provisioning requests with their fence, and machines that are to be deleted.
 *
 * <p>Invariant: every write on condition of a record's version is also conditional on the version of the feature stages, which
 * determine for all versions of the program how these records are written.
 */
final class CloudRecords {
    private final ProvisioningRequests provisioningRequests;
    private final MachineDeletions machineDeletions;
    private long featureStagesVersion;

    /**
     * The writes of a batch so far, and which of them are records of calls to the cloud.
     *
     * @param requests whose records are put or deleted
     * @param deletions those of the writes that concern records of machines to delete
     * @param writes all writes of the batch so far; the caller may append to the list
     * @param conditions of these writes; the caller may append to the list
     */
    record BatchPart(
            List<ProvisioningRequests.Request> requests,
            List<Transaction.Write> deletions,
            List<Transaction.Write> writes,
            List<Transaction.Condition> conditions) {}

    CloudRecords(ProvisioningRequests provisioningRequests, MachineDeletions machineDeletions) {
        this.provisioningRequests = provisioningRequests;
        this.machineDeletions = machineDeletions;
    }

    /** Returns whether the key is that of a provisioning request, of the provisioning fence, or of a record of machines to delete. */
    static boolean owns(String key) {
        return ProvisioningRequests.owns(key) || MachineDeletions.owns(key);
    }

    /**
     * Sets how the records are written from now on.
     *
     * @param version of the record of the feature stages
     * @param areRequestsFenced whether provisioning requests are written on condition of their versions and of their fence
     * @param areDeletionsRecorded whether a record has to name a machine before its deletion may be requested
     */
    void featureFlagsChanged(long version, boolean areRequestsFenced, boolean areDeletionsRecorded) {
        featureStagesVersion = version;
        provisioningRequests.setFenced(areRequestsFenced);
        machineDeletions.setRecordRequired(areDeletionsRecorded);
    }

    /**
     * Returns the writes that the next batch begins with.
     *
     * @param machines the fleet
     * @param otherWrites first writes of the batch
     * @param limit maximum number of writes of the whole batch
     */
    BatchPart nextBatchPart(
            Collection<Machine> machines, List<Transaction.Write> otherWrites, int limit, long nowMicros) {
        List<Transaction.Write> writes = new ArrayList<>(otherWrites);
        List<ProvisioningRequests.Request> requests = provisioningRequests.mayWrite()
                ? provisioningRequests.requestsToWrite(Math.max(1, limit / 2), nowMicros)
                : List.of();
        requests.forEach(request -> writes.add(writeOf(request)));
        List<Transaction.Condition> conditions = provisioningRequests.conditions(requests);
        List<Transaction.Write> deletions =
                machineDeletions.nextWrites(machines, limit - requests.size() - writes.size() - 1, nowMicros);
        conditions.addAll(machineDeletions.conditions(deletions));
        writes.addAll(deletions);
        if (!conditions.isEmpty()) {
            conditions.add(new Transaction.Condition(StoreKeys.FEATURE_STAGES, featureStagesVersion));
        }
        Transaction.Write fenceWrite = provisioningRequests.fenceWrite(requests);
        if (fenceWrite != null) {
            writes.add(fenceWrite);
        }
        return new BatchPart(requests, deletions, writes, conditions);
    }

    private static Transaction.Write writeOf(ProvisioningRequests.Request request) {
        StoredRecord record = isDone(request)
                ? null
                : new StoredRecord.Provisioning("claimed", request.type, request.zone, request.spot, request.count);
        return new Transaction.Write(StoreKeys.provisioningRequest(request.name), record, 0);
    }

    private static boolean isDone(ProvisioningRequests.Request request) {
        return request.state == ProvisioningRequests.State.DONE;
    }

    /** Reverts a part that became part of no batch. */
    void partDiscarded(BatchPart part) {
        part.deletions().forEach(machineDeletions::notWritten);
    }

    /** Marks the requests of a part as being written, since its batch is sent. */
    void partSent(BatchPart part) {
        part.requests().forEach(request -> request.isWriteInFlight = true);
    }

    /** Applies the confirmation of a batch with the given write of a record of machines to delete. */
    void deletionWritten(Transaction.Write write, long revision) {
        machineDeletions.written(write, revision);
    }

    /** Reverts the records of machines to delete of a batch that was certainly not executed. */
    void deletionsNotWritten(WriteBatch batch) {
        deletionsOf(batch).forEach(machineDeletions::notWritten);
    }

    /** Applies the confirmation of a batch to its provisioning requests: their records are stored, or deleted if the requests were done. */
    void requestsWritten(WriteBatch batch, long revision) {
        boolean isFenceIncremented = batch.transaction().writes().stream()
                .anyMatch(write -> write.record() instanceof StoredRecord.ProvisioningFence);
        if (isFenceIncremented) {
            provisioningRequests.fenceIncremented(revision);
        }
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.isWriteInFlight = false;
            request.version = isDone(request) ? 0 : revision;
            request.isStored = !isDone(request);
            if (isDone(request)) {
                provisioningRequests.requests.remove(request.name);
            }
        }
    }

    /** Marks the provisioning requests of a batch as no longer being written, when its outcome was found out otherwise than by a confirmation. */
    void requestsResolved(WriteBatch batch) {
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.isWriteInFlight = false;
        }
    }

    /** Applies the rejection of a batch because of the given keys: the versions of their records are unknown until they have been read back. */
    void conflicted(WriteBatch batch, List<String> failedKeys) {
        requestsResolved(batch);
        provisioningRequests.markUnknown(
                failedKeys.stream().filter(ProvisioningRequests::owns).toList());
        for (Transaction.Write write : deletionsOf(batch)) {
            if (failedKeys.contains(write.key())) {
                machineDeletions.markUnknown(write.key());
            } else {
                machineDeletions.notWritten(write);
            }
        }
    }

    /** Applies a record that was read back; null with version 0 if the store has none under the key. */
    void readBack(String key, StoredRecord record, long version) {
        if (MachineDeletions.owns(key)) {
            machineDeletions.readBack(key, version);
        } else {
            provisioningRequests.readBack(key, record, version);
        }
    }

    private static List<Transaction.Write> deletionsOf(WriteBatch batch) {
        return batch.transaction().writes().stream()
                .filter(write -> MachineDeletions.owns(write.key()))
                .toList();
    }
}
