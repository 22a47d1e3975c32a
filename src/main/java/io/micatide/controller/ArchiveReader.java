package io.micatide.controller;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.micatide.archive.DamagedSegmentException;
import io.micatide.archive.MembershipFilters;
import io.micatide.archive.SegmentCodec;
import io.micatide.model.Micros;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds jobs in the archive. Owns the filters and a bounded cache; questions about the same segment share its read, and their number is
 * bounded. Nothing of it is loaded while there is no archive.
 */
final class ArchiveReader extends Actor<ArchiveReader.Message> {
    sealed interface Message {}

    /** Questions from now on are about this manifest. */
    record ManifestChanged(StoredRecord.ArchiveManifest manifest) implements Message {}

    /** Asks for a job by the last manifest told; {@code then} is called on the event loop, once. */
    record FindJob(String id, Consumer<LookupResult> then) implements Message {}

    record SegmentRead(Reply reply, String key) implements Message {}

    record FilterDue() implements Message {}

    /** What is known of a job by the manifest that was current when it was asked for. */
    sealed interface LookupResult {}

    /** It is over. */
    record Archived(JobOutcome outcome) implements LookupResult {}

    /** The archive does not hold it. */
    record NotArchived() implements LookupResult {}

    /** A segment is gone: runs were merged, and a fresh copy of the rows knows the manifest that says so. */
    record ManifestOutdated() implements LookupResult {}

    /** The state service does not answer, there is too much to read, or a segment is damaged. */
    record Unavailable() implements LookupResult {}

    /** How a question goes on; several segments may hold an id by what the filters know. */
    private static final class PendingLookup {
        final String id;
        final Consumer<LookupResult> then;
        int unreadSegments;
        LookupResult result = new NotArchived();

        PendingLookup(String id, Consumer<LookupResult> then) {
            this.id = id;
            this.then = then;
        }
    }

    private static final int MAX_READS_IN_FLIGHT = 40;
    private static final int MAX_CACHED_OUTCOMES = 8_192;
    /** What all filters may take of the heap: 3 million jobs. */
    private static final long MAX_FILTER_BYTES = 4 << 20;

    private static final long FILTER_PAUSE_MICROS = 50 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = Micros.SECOND;

    private final StoreClient store;
    private final Map<String, List<PendingLookup>> lookupsBySegment = new HashMap<>();
    private final Set<String> damagedSegments = new HashSet<>();
    private MembershipFilters filters;
    private Cache<String, JobOutcome> cache;
    private String filterKey;
    private boolean filterDue;

    ArchiveReader(ActorExecutor loop, StoreClient state) {
        super(loop);
        this.store = state;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof FindJob m) {
            findJob(m);
        } else if (message instanceof SegmentRead m) {
            segmentRead(m);
        } else if (message instanceof ManifestChanged m) {
            manifestChanged(m.manifest());
        } else if (message instanceof FilterDue) {
            filterDue = false;
            buildFilters();
        }
    }

    private void manifestChanged(StoredRecord.ArchiveManifest manifest) {
        if (filters == null) {
            filters = new MembershipFilters(MAX_FILTER_BYTES);
            cache = CacheBuilder.newBuilder()
                    .maximumSize(MAX_CACHED_OUTCOMES)
                    .concurrencyLevel(1)
                    .build();
            log.info("there is an archive of {} runs", manifest.runs().size());
        }
        filters.setManifest(manifest);
        buildFilters();
    }

    private void findJob(FindJob message) {
        if (filters == null) {
            message.then().accept(new NotArchived());
            return;
        }
        JobOutcome known = cache.getIfPresent(message.id());
        if (known != null) {
            message.then().accept(new Archived(known));
            return;
        }
        List<String> keys = filters.candidateSegments(message.id());
        if (keys.isEmpty()) {
            message.then().accept(new NotArchived());
            return;
        }
        long added =
                keys.stream().filter(key -> !lookupsBySegment.containsKey(key)).count();
        if (lookupsBySegment.size() + added > MAX_READS_IN_FLIGHT) {
            message.then().accept(new Unavailable());
            return;
        }
        PendingLookup question = new PendingLookup(message.id(), message.then());
        question.unreadSegments = keys.size();
        for (String key : keys) {
            List<PendingLookup> waiting = lookupsBySegment.get(key);
            if (waiting == null) {
                lookupsBySegment.put(key, new ArrayList<>(List.of(question)));
                store.read(key, onReply(r -> new SegmentRead(r, key)));
            } else {
                waiting.add(question);
            }
        }
    }

    private void segmentRead(SegmentRead message) {
        String key = message.key();
        List<PendingLookup> waiting = lookupsBySegment.remove(key);
        Reply reply = message.reply();
        StoredRecord.ArchiveSegment segment = null;
        LookupResult failure = new Unavailable();
        try {
            if (reply.ok()) {
                segment = (StoredRecord.ArchiveSegment)
                        StoreCodec.item(reply.body()).record();
            } else if (reply.status() == 404) {
                failure = new ManifestOutdated();
            }
            if (key.equals(filterKey)) {
                filterRead(key, segment);
            }
            if (waiting != null) {
                for (PendingLookup question : waiting) {
                    segmentAnswered(question, segment == null ? failure : findInSegment(key, segment, question.id));
                }
            }
            return;
        } catch (MalformedException e) {
            damagedSegments(key, key + ": " + e.getMessage());
        } catch (DamagedSegmentException e) {
            damagedSegments(key, e.getMessage());
        }
        if (key.equals(filterKey)) {
            filterKey = null;
            buildFilters();
        }
        if (waiting != null) {
            waiting.forEach(question -> segmentAnswered(question, new Unavailable()));
        }
    }

    private LookupResult findInSegment(String key, StoredRecord.ArchiveSegment segment, String id)
            throws DamagedSegmentException {
        JobOutcome outcome = SegmentCodec.find(key, segment, id);
        if (outcome == null) {
            return new NotArchived();
        }
        cache.put(id, outcome);
        return new Archived(outcome);
    }

    /** One answer per question: found anywhere it is found, and it is nowhere only if every segment said so. */
    private void segmentAnswered(PendingLookup question, LookupResult found) {
        question.unreadSegments--;
        if ((question.result instanceof NotArchived && !(found instanceof NotArchived)) || found instanceof Archived) {
            question.result = question.result instanceof Archived ? question.result : found;
        }
        if (question.unreadSegments == 0) {
            question.then.accept(question.result);
        }
    }

    private void damagedSegments(String key, String what) {
        filters.segmentUnreadable(key);
        if (damagedSegments.add(key)) {
            log.error("damaged segment of the archive, jobs in it are answered 503: {}", what);
        }
    }

    // ---- filters

    private void buildFilters() {
        if (filterKey != null || filterDue) {
            return;
        }
        String wanted = filters.nextSegmentToRead();
        if (wanted == null) {
            return;
        }
        if (!store.hasSpareRate() || lookupsBySegment.containsKey(wanted)) {
            scheduleFilterBuild(FILTER_PAUSE_MICROS);
            return;
        }
        filterKey = wanted;
        lookupsBySegment.put(wanted, new ArrayList<>());
        store.read(wanted, onReply(r -> new SegmentRead(r, wanted)));
    }

    private void scheduleFilterBuild(long micros) {
        filterDue = true;
        tellLater(new FilterDue(), micros);
    }

    private void filterRead(String key, StoredRecord.ArchiveSegment segment) throws DamagedSegmentException {
        filterKey = null;
        if (segment != null) {
            filters.segmentRead(key, SegmentCodec.unpack(key, segment));
            scheduleFilterBuild(FILTER_PAUSE_MICROS);
        } else {
            // Gone with its run, which the next manifest tells, or not to be had now.
            scheduleFilterBuild(RETRY_MICROS);
        }
    }
}
