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
 * Looks up jobs in the archive. Owns the membership filters and a bounded cache of outcomes. Lookups in the same segment share one read,
 * and the number of reads in flight is bounded. While there is no archive, neither filters nor cache exist.
 */
final class ArchiveReader extends Actor<ArchiveReader.Message> {
    /** A message to this actor. */
    sealed interface Message {}

    /** The archive has this manifest from now on. */
    record ManifestChanged(StoredRecord.ArchiveManifest manifest) implements Message {}

    /** Looks a job up by the last manifest received; {@code callback} is called once, on the event loop. */
    record FindJob(String id, Consumer<LookupResult> callback) implements Message {}

    /** The store answered the read of the segment at the given key. */
    record SegmentRead(Reply reply, String key) implements Message {}

    /** The read of the next segment for a filter is due. */
    record FilterReadDue() implements Message {}

    /** Result of a lookup, by the manifest that was current when the lookup began. */
    sealed interface LookupResult {}

    /** The job is finished, with this outcome. */
    record Archived(JobOutcome outcome) implements LookupResult {}

    /** The archive does not hold the job. */
    record NotArchived() implements LookupResult {}

    /** A segment no longer exists, since runs were merged: a fresh read of the job records yields the newer manifest. */
    record ManifestOutdated() implements LookupResult {}

    /** The store did not answer, too many reads are in flight, or a segment is damaged. */
    record Unavailable() implements LookupResult {}

    /** A lookup that waits for segments to be read; by the filters, several segments may hold its id. */
    private static final class PendingLookup {
        final String id;
        final Consumer<LookupResult> callback;
        int unreadSegments;
        LookupResult result = new NotArchived();

        PendingLookup(String id, Consumer<LookupResult> callback) {
            this.id = id;
            this.callback = callback;
        }
    }

    private static final int MAX_READS_IN_FLIGHT = 40;
    private static final int MAX_CACHED_OUTCOMES = 8_192;
    /** Limit on the heap that all filters take together, enough for 3 million jobs. */
    private static final long MAX_FILTER_BYTES = 4 << 20;

    /** Delay between reads of segments for filters. */
    private static final long FILTER_READ_DELAY_MICROS = 50 * Micros.MILLISECOND;
    /** Delay after a segment for a filter could not be read. */
    private static final long RETRY_DELAY_MICROS = Micros.SECOND;

    private final StoreClient store;
    /** Lookups that wait for a segment in flight, by the segment's key; empty lists for reads that serve filters only. */
    private final Map<String, List<PendingLookup>> lookupsBySegment = new HashMap<>();
    /** Keys of segments that were logged as damaged. */
    private final Set<String> damagedSegments = new HashSet<>();
    /** Null until there is an archive. */
    private MembershipFilters filters;

    /** Outcomes that were found, by job id; null until there is an archive. */
    private Cache<String, JobOutcome> outcomeCache;

    /** Key of the segment that is being read for a filter, or null. */
    private String filterSegmentInFlight;

    private boolean isFilterReadScheduled;

    ArchiveReader(ActorExecutor executor, StoreClient store) {
        super(executor);
        this.store = store;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof FindJob m) {
            findJob(m);
        } else if (message instanceof SegmentRead m) {
            segmentRead(m);
        } else if (message instanceof ManifestChanged m) {
            manifestChanged(m.manifest());
        } else if (message instanceof FilterReadDue) {
            isFilterReadScheduled = false;
            readNextFilterSegment();
        }
    }

    private void manifestChanged(StoredRecord.ArchiveManifest manifest) {
        if (filters == null) {
            filters = new MembershipFilters(MAX_FILTER_BYTES);
            outcomeCache = CacheBuilder.newBuilder()
                    .maximumSize(MAX_CACHED_OUTCOMES)
                    .concurrencyLevel(1)
                    .build();
            log.info("there is an archive of {} runs", manifest.runs().size());
        }
        filters.setManifest(manifest);
        readNextFilterSegment();
    }

    private void findJob(FindJob message) {
        if (filters == null) {
            message.callback().accept(new NotArchived());
            return;
        }
        JobOutcome cached = outcomeCache.getIfPresent(message.id());
        if (cached != null) {
            message.callback().accept(new Archived(cached));
            return;
        }
        List<String> keys = filters.candidateSegments(message.id());
        if (keys.isEmpty()) {
            message.callback().accept(new NotArchived());
            return;
        }
        long added =
                keys.stream().filter(key -> !lookupsBySegment.containsKey(key)).count();
        if (lookupsBySegment.size() + added > MAX_READS_IN_FLIGHT) {
            message.callback().accept(new Unavailable());
            return;
        }
        PendingLookup lookup = new PendingLookup(message.id(), message.callback());
        lookup.unreadSegments = keys.size();
        for (String key : keys) {
            List<PendingLookup> waiting = lookupsBySegment.get(key);
            if (waiting == null) {
                lookupsBySegment.put(key, new ArrayList<>(List.of(lookup)));
                store.read(key, onReply(reply -> new SegmentRead(reply, key)));
            } else {
                waiting.add(lookup);
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
            if (key.equals(filterSegmentInFlight)) {
                filterSegmentRead(key, segment);
            }
            if (waiting != null) {
                for (PendingLookup lookup : waiting) {
                    addSegmentResult(lookup, segment == null ? failure : findInSegment(key, segment, lookup.id));
                }
            }
            return;
        } catch (MalformedException e) {
            reportDamagedSegment(key, key + ": " + e.getMessage());
        } catch (DamagedSegmentException e) {
            reportDamagedSegment(key, e.getMessage());
        }
        if (key.equals(filterSegmentInFlight)) {
            filterSegmentInFlight = null;
            readNextFilterSegment();
        }
        if (waiting != null) {
            waiting.forEach(lookup -> addSegmentResult(lookup, new Unavailable()));
        }
    }

    private LookupResult findInSegment(String key, StoredRecord.ArchiveSegment segment, String id)
            throws DamagedSegmentException {
        JobOutcome outcome = SegmentCodec.find(key, segment, id);
        if (outcome == null) {
            return new NotArchived();
        }
        outcomeCache.put(id, outcome);
        return new Archived(outcome);
    }

    /**
     * Adds the result of one segment to a lookup and answers the lookup once all its segments are read. A job is found if any segment holds
     * it, and not archived only if no segment holds it and all could be read.
     */
    private void addSegmentResult(PendingLookup lookup, LookupResult found) {
        lookup.unreadSegments--;
        if ((lookup.result instanceof NotArchived && !(found instanceof NotArchived)) || found instanceof Archived) {
            lookup.result = lookup.result instanceof Archived ? lookup.result : found;
        }
        if (lookup.unreadSegments == 0) {
            lookup.callback.accept(lookup.result);
        }
    }

    /** Drops the filter of the segment's run and logs the damage once per segment. */
    private void reportDamagedSegment(String key, String reason) {
        filters.segmentUnreadable(key);
        if (damagedSegments.add(key)) {
            log.error("damaged segment of the archive, jobs in it are answered 503: {}", reason);
        }
    }

    // ---- filters

    /** Reads the next segment that a filter lacks; waits while the store is busy with other requests or the segment is already being read. */
    private void readNextFilterSegment() {
        if (filterSegmentInFlight != null || isFilterReadScheduled) {
            return;
        }
        String segmentKey = filters.nextSegmentToRead();
        if (segmentKey == null) {
            return;
        }
        if (!store.hasSpareRate() || lookupsBySegment.containsKey(segmentKey)) {
            scheduleFilterRead(FILTER_READ_DELAY_MICROS);
            return;
        }
        filterSegmentInFlight = segmentKey;
        lookupsBySegment.put(segmentKey, new ArrayList<>());
        store.read(segmentKey, onReply(reply -> new SegmentRead(reply, segmentKey)));
    }

    private void scheduleFilterRead(long delayMicros) {
        isFilterReadScheduled = true;
        tellLater(new FilterReadDue(), delayMicros);
    }

    /** Adds a segment to its filter; {@code segment} is null if it could not be read. */
    private void filterSegmentRead(String key, StoredRecord.ArchiveSegment segment) throws DamagedSegmentException {
        filterSegmentInFlight = null;
        if (segment != null) {
            filters.segmentRead(key, SegmentCodec.unpack(key, segment));
            scheduleFilterRead(FILTER_READ_DELAY_MICROS);
        } else {
            // The run was merged, which the next manifest shows, or the store did not answer.
            scheduleFilterRead(RETRY_DELAY_MICROS);
        }
    }
}
