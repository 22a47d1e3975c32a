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
    record Manifest(StoredRecord.ArchiveManifest manifest) implements Message {}

    /** Asks for a job by the last manifest told; {@code then} is called on the event loop, once. */
    record Find(String id, Consumer<Found> then) implements Message {}

    record SegmentRead(Reply reply, String key) implements Message {}

    record FilterDue() implements Message {}

    /** What is known of a job by the manifest that was current when it was asked for. */
    sealed interface Found {}

    /** It is over. */
    record Archived(JobOutcome outcome) implements Found {}

    /** The archive does not hold it. */
    record Nowhere() implements Found {}

    /** A segment is gone: runs were merged, and a fresh copy of the rows knows the manifest that says so. */
    record Moved() implements Found {}

    /** The state service does not answer, there is too much to read, or a segment is damaged. */
    record Unavailable() implements Found {}

    /** How a question goes on; several segments may hold an id by what the filters know. */
    private static final class Question {
        final String id;
        final Consumer<Found> then;
        int unread;
        Found worst = new Nowhere();

        Question(String id, Consumer<Found> then) {
            this.id = id;
            this.then = then;
        }
    }

    private static final int MOST_READS = 40;
    private static final int CACHED = 8_192;
    /** What all filters may take of the heap: 3 million jobs. */
    private static final long FILTER_BYTES = 4 << 20;

    private static final long FILTER_PAUSE_MICROS = 50 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = Micros.SECOND;

    private final StoreClient state;
    private final Map<String, List<Question>> reading = new HashMap<>();
    private final Set<String> damaged = new HashSet<>();
    private MembershipFilters filters;
    private Cache<String, JobOutcome> cache;
    private String filterKey;
    private boolean filterDue;

    ArchiveReader(ActorExecutor loop, StoreClient state) {
        super(loop);
        this.state = state;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Find m) {
            find(m);
        } else if (message instanceof SegmentRead m) {
            read(m);
        } else if (message instanceof Manifest m) {
            manifest(m.manifest());
        } else if (message instanceof FilterDue) {
            filterDue = false;
            buildFilters();
        }
    }

    private void manifest(StoredRecord.ArchiveManifest manifest) {
        if (filters == null) {
            filters = new MembershipFilters(FILTER_BYTES);
            cache = CacheBuilder.newBuilder()
                    .maximumSize(CACHED)
                    .concurrencyLevel(1)
                    .build();
            log.info("there is an archive of {} runs", manifest.runs().size());
        }
        filters.setManifest(manifest);
        buildFilters();
    }

    private void find(Find message) {
        if (filters == null) {
            message.then().accept(new Nowhere());
            return;
        }
        JobOutcome known = cache.getIfPresent(message.id());
        if (known != null) {
            message.then().accept(new Archived(known));
            return;
        }
        List<String> keys = filters.candidateSegments(message.id());
        if (keys.isEmpty()) {
            message.then().accept(new Nowhere());
            return;
        }
        long added = keys.stream().filter(key -> !reading.containsKey(key)).count();
        if (reading.size() + added > MOST_READS) {
            message.then().accept(new Unavailable());
            return;
        }
        Question question = new Question(message.id(), message.then());
        question.unread = keys.size();
        for (String key : keys) {
            List<Question> waiting = reading.get(key);
            if (waiting == null) {
                reading.put(key, new ArrayList<>(List.of(question)));
                state.read(key, answer(r -> new SegmentRead(r, key)));
            } else {
                waiting.add(question);
            }
        }
    }

    private void read(SegmentRead message) {
        String key = message.key();
        List<Question> waiting = reading.remove(key);
        Reply reply = message.reply();
        StoredRecord.ArchiveSegment segment = null;
        Found failure = new Unavailable();
        try {
            if (reply.ok()) {
                segment = (StoredRecord.ArchiveSegment)
                        StoreCodec.item(reply.body()).row();
            } else if (reply.status() == 404) {
                failure = new Moved();
            }
            if (key.equals(filterKey)) {
                filterRead(key, segment);
            }
            if (waiting != null) {
                for (Question question : waiting) {
                    told(question, segment == null ? failure : found(key, segment, question.id));
                }
            }
            return;
        } catch (MalformedException e) {
            damaged(key, key + ": " + e.getMessage());
        } catch (DamagedSegmentException e) {
            damaged(key, e.getMessage());
        }
        if (key.equals(filterKey)) {
            filterKey = null;
            buildFilters();
        }
        if (waiting != null) {
            waiting.forEach(question -> told(question, new Unavailable()));
        }
    }

    private Found found(String key, StoredRecord.ArchiveSegment segment, String id) throws DamagedSegmentException {
        JobOutcome outcome = SegmentCodec.find(key, segment, id);
        if (outcome == null) {
            return new Nowhere();
        }
        cache.put(id, outcome);
        return new Archived(outcome);
    }

    /** One answer per question: found anywhere it is found, and it is nowhere only if every segment said so. */
    private void told(Question question, Found found) {
        question.unread--;
        if ((question.worst instanceof Nowhere && !(found instanceof Nowhere)) || found instanceof Archived) {
            question.worst = question.worst instanceof Archived ? question.worst : found;
        }
        if (question.unread == 0) {
            question.then.accept(question.worst);
        }
    }

    private void damaged(String key, String what) {
        filters.segmentUnreadable(key);
        if (damaged.add(key)) {
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
        if (!state.idle() || reading.containsKey(wanted)) {
            later(FILTER_PAUSE_MICROS);
            return;
        }
        filterKey = wanted;
        reading.put(wanted, new ArrayList<>());
        state.read(wanted, answer(r -> new SegmentRead(r, wanted)));
    }

    private void later(long micros) {
        filterDue = true;
        tellLater(new FilterDue(), micros);
    }

    private void filterRead(String key, StoredRecord.ArchiveSegment segment) throws DamagedSegmentException {
        filterKey = null;
        if (segment != null) {
            filters.segmentRead(key, SegmentCodec.unpack(key, segment));
            later(FILTER_PAUSE_MICROS);
        } else {
            // Gone with its run, which the next manifest tells, or not to be had now.
            later(RETRY_MICROS);
        }
    }
}
