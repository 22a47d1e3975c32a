package io.micatide.snapshot;

import io.micatide.protocol.RawStoreCodec;
import io.micatide.store.StoreKeys;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Everything that micatide keeps in a store at one revision, but for the leader and the registrations of controllers: those are bound to
 * leases.
 *
 * @param revision of the store
 * @param values all values by key
 */
public record StoreImage(long revision, SortedMap<String, RawStoreCodec.Value> values) {
    /** The prefixes of an image, one for each owner of the writes. */
    static final List<String> PREFIXES = List.of(
            StoreKeys.PROVISIONING_REQUESTS,
            StoreKeys.PROVISIONING_FENCE,
            StoreKeys.LEARNED_STATE,
            StoreKeys.MACHINE_DELETIONS,
            StoreKeys.FEATURE_REQUESTS,
            StoreKeys.ARCHIVE_SEGMENTS,
            StoreKeys.JOBS,
            StoreKeys.LEDGERS,
            StoreKeys.MACHINE_TYPES);

    /**
     * How many values there are of each prefix.
     *
     * @return by prefix, also of those without values
     */
    public Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        for (String prefix : PREFIXES) {
            counts.put(prefix, (int) values.keySet().stream()
                    .filter(key -> key.startsWith(prefix))
                    .count());
        }
        return counts;
    }
}
