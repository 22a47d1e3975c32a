package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Keys of jobs for which a batch was refused and that are still to be read back: their jobs are not written before. */
final class ConflictedKeys {
    private final Map<String, Set<String>> keysByJob = new HashMap<>();

    /** @param key of a job's record or of a page of its ledger */
    void add(String key) {
        keysByJob
                .computeIfAbsent(StoreKeys.jobIdOf(key), jobId -> new HashSet<>())
                .add(key);
    }

    boolean containsKeyOf(String jobId) {
        return keysByJob.containsKey(jobId);
    }

    /** Removes a key that was read back; returns whether it was the last one of its job. */
    boolean remove(String key) {
        String jobId = StoreKeys.jobIdOf(key);
        Set<String> keys = keysByJob.get(jobId);
        if (keys == null || !keys.remove(key) || !keys.isEmpty()) {
            return false;
        }
        keysByJob.remove(jobId);
        return true;
    }
}
