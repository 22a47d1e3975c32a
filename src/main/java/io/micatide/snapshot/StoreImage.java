package io.micatide.snapshot;

import io.micatide.protocol.RawStoreCodec;
import io.micatide.store.StoreKeys;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Everything that micatide keeps in a state service at one revision, but for who leads and who is there: that is bound to leases.
 *
 * @param values by key
 */
public record StoreImage(long revision, SortedMap<String, RawStoreCodec.Value> values) {
    /** One for each owner of the writes; {@link StoreKeys#LEADER} and registrations are left out: they are bound to leases. */
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

    /** How many values there are of each prefix. */
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
