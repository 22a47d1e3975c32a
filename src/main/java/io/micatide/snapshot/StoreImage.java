package io.micatide.snapshot;

import io.micatide.protocol.RawStoreCodec;
import io.micatide.store.StoreKeys;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All values that micatide keeps in a store at one revision, except for the leader and the registrations of controllers, which are bound to
 * leases.
 *
 * @param revision the store's revision
 * @param values values by key
 */
public record StoreImage(long revision, SortedMap<String, RawStoreCodec.Value> values) {
    /** Prefixes of the keys of an image, one for each component that writes such keys. */
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
     * Returns the number of values of each prefix.
     *
     * @return counts by prefix, including prefixes without values
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
