package io.micatide.store;

import java.util.List;

/** Conditions on versions and the writes made if all of them hold. */
public record Transaction(List<Compare> conditions, List<Write> writes) {
    public record Compare(String key, long version) {}

    /** A put, or a delete where {@code row} is null; {@code lease} 0 for none. */
    public record Write(String key, StoredRecord row, long lease) {}
}
