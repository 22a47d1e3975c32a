package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Keys of jobs for which a batch was refused and which must be read back before their jobs are written again. */
final class ConflictedKeys {
    private final Map<String, Set<String>> keysByJob = new HashMap<>();

    /** Adds the key of a job record or of a ledger page. */
    void add(String key) {
        keysByJob
                .computeIfAbsent(StoreKeys.jobIdOf(key), jobId -> new HashSet<>())
                .add(key);
    }

    /** Returns whether a key of this job is still to be read back. */
    boolean containsKeyOf(String jobId) {
        return keysByJob.containsKey(jobId);
    }

    /** Removes a key that was read back and returns whether it was the last one of its job. */
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
