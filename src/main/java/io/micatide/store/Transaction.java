package io.micatide.store;

import java.util.List;

/** Conditions on versions and the writes made if all of them hold. */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    public record Condition(String key, long version) {}

    /** A put, or a delete where {@code record} is null; {@code leaseId} 0 for none. */
    public record Write(String key, StoredRecord record, long leaseId) {}
}
