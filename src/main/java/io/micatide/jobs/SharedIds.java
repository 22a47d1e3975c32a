package io.micatide.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps one instance of each job id, so that a job that is named by many others costs each of them a reference and not a string. Not
 * thread-safe.
 */
final class SharedIds {
    /** Number of ids beyond those in use that are kept before the others are dropped. */
    private static final int MAX_UNUSED_IDS = 4_096;

    private final Map<String, String> ids = new HashMap<>();

    /** Returns the shared instance of an id. */
    String share(String id) {
        String known = ids.putIfAbsent(id, id);
        return known == null ? id : known;
    }

    /** Returns the list with the shared instance of each id. */
    List<String> share(List<String> names) {
        List<String> shared = new ArrayList<>(names.size());
        for (String name : names) {
            shared.add(share(name));
        }
        return List.copyOf(shared);
    }

    /**
     * Drops ids that are no longer in use once there are many of them. An id that is dropped too early costs a second instance, nothing else.
     *
     * @param idsInUse shared instances of the ids to keep
     */
    void dropUnused(Collection<String> idsInUse) {
        if (ids.size() > 2 * idsInUse.size() + MAX_UNUSED_IDS) {
            ids.clear();
            idsInUse.forEach(id -> ids.put(id, id));
        }
    }
}
