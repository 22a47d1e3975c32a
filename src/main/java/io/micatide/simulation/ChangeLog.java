package io.micatide.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** The newest changes of a {@link SimulatedStore} in the order of their revisions; older ones are compacted away. */
final class ChangeLog {
    private static final int MAX_CHANGES = 10_000;

    /** A put, or a deletion if {@code json} is null. */
    record Change(String key, byte[] json, long revision) {}

    private final Deque<Change> changes = new ArrayDeque<>();
    private long compactedTo = 1;

    void add(Change change) {
        changes.addLast(change);
        while (changes.size() > MAX_CHANGES) {
            compactedTo = changes.pollFirst().revision();
        }
    }

    /** Changes up to this revision were made beside the log. */
    void compactTo(long revision) {
        compactedTo = revision;
    }

    /** Whether all changes after a revision are still there. */
    boolean reachesBackTo(long revision) {
        return revision >= compactedTo;
    }

    /** Changes of keys with a prefix after a revision, the newest first. */
    List<Change> since(String prefix, long revision) {
        List<Change> result = new ArrayList<>();
        for (Iterator<Change> newest = changes.descendingIterator(); newest.hasNext(); ) {
            Change change = newest.next();
            if (change.revision() <= revision) {
                break;
            }
            if (change.key().startsWith(prefix)) {
                result.add(change);
            }
        }
        return result;
    }

    /** The same as the body of a response of {@code /changes}. */
    String sinceAsJson(String prefix, long revision, long currentRevision) {
        StringBuilder out =
                new StringBuilder("{\"ledger\":").append(currentRevision).append(",\"events\":[");
        String comma = "";
        for (Change change : since(prefix, revision)) {
            out.append(comma)
                    .append("{\"")
                    .append(change.json() == null ? "delete" : "put")
                    .append("\":\"")
                    .append(change.key())
                    .append('"');
            if (change.json() != null) {
                out.append(",\"data\":").append(new String(change.json(), StandardCharsets.UTF_8));
            }
            out.append(",\"stamp\":").append(change.revision()).append('}');
            comma = ",";
        }
        return out.append("]}").toString();
    }
}
