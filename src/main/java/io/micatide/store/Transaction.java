package io.micatide.store;

import java.util.List;

/**
 * A compare-and-swap on several keys: the store applies all writes if every condition holds, and none otherwise.
 *
 * @param conditions versions that the keys must have
 * @param writes puts and deletions
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /**
     * Requires that a key has a version.
     *
     * @param key the key
     * @param version revision of the last change of the key, or 0 if the key must not exist
     */
    public record Condition(String key, long version) {}

    /**
     * Puts or deletes a key.
     *
     * @param key the key
     * @param record the new value, or null to delete the key
     * @param leaseId the lease to which the key is attached, or 0 for none
     */
    public record Write(String key, StoredRecord record, long leaseId) {}
}
