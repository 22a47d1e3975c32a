package io.micatide.archive;

import io.micatide.store.Row;
import io.micatide.store.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Content for a new run: the segments of several runs, poured together in the order of the hash, so that no more than about one
 * segment of each is held at a time. Or jobs that come from their rows, with no run to read.
 */
final class Merge {
    private final Spread spread;
    private final int segments;
    private final List<Source> sources = new ArrayList<>();

    private static final class Source {
        final Row.Run run;
        int read;
        List<Archived> held = new ArrayList<>();

        Source(Row.Run run) {
            this.run = run;
        }
    }

    Merge(Spread spread, int segments, List<Row.Run> runs, List<Archived> jobs) {
        this.spread = spread;
        this.segments = segments;
        runs.forEach(run -> sources.add(new Source(run)));
        Source rows = new Source(null);
        rows.held.addAll(jobs);
        sources.add(rows);
    }

    /** The segment to be read before segment {@code number} of the new run can be told, or null if there is none. */
    String unread(int number) {
        for (Source source : sources) {
            if (source.run != null
                    && source.read < source.run.segments()
                    && Spread.startsBeforeEnd(source.read, source.run.segments(), number, segments)) {
                return StoreKeys.segment(source.run.name(), source.read);
            }
        }
        return null;
    }

    void read(String key, List<Archived> jobs) {
        for (Source source : sources) {
            if (source.run != null
                    && source.read < source.run.segments()
                    && key.equals(StoreKeys.segment(source.run.name(), source.read))) {
                source.read++;
                source.held.addAll(jobs);
                return;
            }
        }
    }

    /** What segment {@code number} holds, in the order of the ids, each once; must be asked once, in the order of the numbers. */
    List<Archived> take(int number) {
        TreeMap<String, Archived> taken = new TreeMap<>();
        for (Source source : sources) {
            List<Archived> rest = new ArrayList<>();
            for (Archived job : source.held) {
                if (Spread.segment(spread.hash(job.id()), segments) == number) {
                    taken.putIfAbsent(job.id(), job);
                } else {
                    rest.add(job);
                }
            }
            source.held = rest;
        }
        return List.copyOf(taken.values());
    }
}
