package io.micatide.store;

import java.util.List;

/**
 * A compare-and-swap on several keys: writes that are all made if every condition holds, and none otherwise.
 *
 * @param conditions versions that the keys must have
 * @param writes what is put or deleted
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /**
     * A key has this version.
     *
     * @param key the key
     * @param version revision of its last change, or 0 if it must not exist
     */
    public record Condition(String key, long version) {}

    /**
     * A put or a delete.
     *
     * @param key the key
     * @param record the new value, or null to delete the key
     * @param leaseId the lease to which the key is attached, or 0 for none
     */
    public record Write(String key, StoredRecord record, long leaseId) {}
}
