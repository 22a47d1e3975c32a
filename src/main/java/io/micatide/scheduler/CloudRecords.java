package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The part of a write batch that records what is asked of the cloud: provisioning requests with their fence, and machines that are to be deleted.
 *
 * <p>Invariant: whatever is written on condition of a version is also written on condition of the feature stages, by which other versions of the
 * program tell how these records are written.
 */
final class CloudRecords {
    private final ProvisioningRequests provisioningRequests;
    private final MachineDeletions machineDeletions;
    private long featureStagesVersion;

    /**
     * What a batch writes of this.
     *
     * @param requests that are written
     * @param deletions among the writes, those of machines to delete
     * @param writes all so far, a list to be added to
     * @param conditions of these, a list to be added to
     */
    record Part(
            List<ProvisioningRequests.Request> requests,
            List<Transaction.Write> deletions,
            List<Transaction.Write> writes,
            List<Transaction.Condition> conditions) {}

    CloudRecords(ProvisioningRequests provisioningRequests, MachineDeletions machineDeletions) {
        this.provisioningRequests = provisioningRequests;
        this.machineDeletions = machineDeletions;
    }

    /** Whether the key is of a provisioning request, of their fence, or of machines to delete. */
    static boolean owns(String key) {
        return ProvisioningRequests.owns(key) || MachineDeletions.owns(key);
    }

    /**
     * How the records are written from now on.
     *
     * @param version of the record of the feature stages
     * @param fenced whether provisioning requests are written on condition of their versions and of their fence
     * @param recorded whether a machine is named in a record before its deletion is asked for
     */
    void featureFlagsChanged(long version, boolean fenced, boolean recorded) {
        featureStagesVersion = version;
        provisioningRequests.setFenced(fenced);
        machineDeletions.setRecorded(recorded);
    }

    /**
     * What the next batch writes of this.
     *
     * @param otherWrites that the batch begins with
     * @param limit writes that the batch may have in all
     */
    Part nextPart(Collection<Machine> machines, List<Transaction.Write> otherWrites, int limit, long nowMicros) {
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
        Transaction.Write fence = provisioningRequests.fence(requests);
        if (fence != null) {
            writes.add(fence);
        }
        return new Part(requests, deletions, writes, conditions);
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

    /** The part is in no batch. */
    void notComposed(Part part) {
        part.deletions().forEach(machineDeletions::notWritten);
    }

    /** The part goes out with a batch. */
    void sent(Part part) {
        part.requests().forEach(request -> request.writing = true);
    }

    /** The batch with this write of machines to delete is confirmed. */
    void deletionWritten(Transaction.Write write, long revision) {
        machineDeletions.written(write, revision);
    }

    /** The batch was certainly not executed. */
    void deletionsNotWritten(WriteBatch batch) {
        deletionsOf(batch).forEach(machineDeletions::notWritten);
    }

    /** The batch is confirmed: its provisioning requests are recorded, or gone if they were done. */
    void requestsWritten(WriteBatch batch, long revision) {
        boolean fenceMoved = batch.transaction().writes().stream()
                .anyMatch(write -> write.record() instanceof StoredRecord.ProvisioningFence);
        if (fenceMoved) {
            provisioningRequests.fenceMoved(revision);
        }
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.writing = false;
            request.version = isDone(request) ? 0 : revision;
            request.recorded = !isDone(request);
            if (isDone(request)) {
                provisioningRequests.requests.remove(request.name);
            }
        }
    }

    /** The outcome of the batch is known by other means. */
    void requestsResolved(WriteBatch batch) {
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.writing = false;
        }
    }

    /** The batch was refused for these keys; those of this part are unknown until they are read back. */
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

    /** A record as read back; null with version 0 if there is none. */
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
