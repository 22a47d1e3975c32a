package io.micatide.controller;

import io.micatide.model.Hint;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.StoreClient;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Feature;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores what a leader learned during its term in a few records, so that a later leader that received no hints knows it too: run times,
 * quarantined jobs, and slow, quarantined and deleted machines. Writes one record at a time, only if it changed, and only with writes that
 * scheduling and users leave over. Like hints, these records are advisory: they speed decisions up and never permit anything. Part of the
 * leader's actor.
 */
final class LearnedStateWriter {
    /** Minimum time between writes, short enough that all records are written within a minute. */
    private static final long WRITE_INTERVAL_MICROS = 2 * Micros.SECOND;

    private static final String CLASSES_KEY = StoreKeys.LEARNED_STATE + "classes";
    private static final String JOBS_KEY = StoreKeys.LEARNED_STATE + "jobs";
    private static final String MACHINES_KEY = StoreKeys.LEARNED_STATE + "machines";
    private static final List<String> KEYS = List.of(CLASSES_KEY, JOBS_KEY, MACHINES_KEY);
    /** Stands for a record that does not exist. */
    private static final StoredRecord.LearnedState EMPTY = new StoredRecord.LearnedState(List.of());
    /** Stands for a time before all others; half the minimum, so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** Bytes that a record takes in addition to its hints. */
    private static final int RECORD_OVERHEAD_BYTES = 32;

    private final LeaderActor owner;
    private final Settings settings;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final RolloutParticipant participant;
    /** The records in the store, by key, as last read or written. */
    private final Map<String, StoredRecord.LearnedState> storedRecords = new HashMap<>();

    private boolean isWriteInFlight;
    /** Index in {@link #KEYS} of the key to compare next. */
    private int nextKeyIndex;

    /** Time of the last search for changes. */
    private long lastAttemptMicros = NEVER_MICROS;

    LearnedStateWriter(
            LeaderActor owner,
            Settings settings,
            Scheduler scheduler,
            StoreClient store,
            RolloutParticipant participant) {
        this.owner = owner;
        this.settings = settings;
        this.scheduler = scheduler;
        this.store = store;
        this.participant = participant;
    }

    /** Records the content of a record in the store. */
    void recordObserved(String key, StoredRecord.LearnedState record) {
        storedRecords.put(key, record);
    }

    /** Writes the next record that has changed, at most one; called on each tick of the leader. */
    void tick(long nowMicros) {
        if (isWriteInFlight
                || nowMicros - lastAttemptMicros < WRITE_INTERVAL_MICROS
                || !participant.featureFlags().isEnabled(Feature.LEARNED)) {
            return;
        }
        lastAttemptMicros = nowMicros;
        List<Hint> durable = scheduler.durableHints(nowMicros);
        for (int compared = 0; compared < KEYS.size(); compared++) {
            String key = KEYS.get(nextKeyIndex);
            nextKeyIndex = (nextKeyIndex + 1) % KEYS.size();
            StoredRecord.LearnedState record = recordFor(key, durable);
            if (!record.equals(storedRecords.getOrDefault(key, EMPTY))) {
                if (scheduler.spareWriteBudget(nowMicros) >= 1) {
                    write(key, record);
                }
                return;
            }
        }
    }

    /** Returns the record for a key, with as many hints as fit into a value of the store; a later leader learns the others again. */
    private StoredRecord.LearnedState recordFor(String key, List<Hint> durable) {
        List<Hint> hints = new ArrayList<>();
        int bytes = RECORD_OVERHEAD_BYTES;
        for (Hint hint : durable) {
            if (key.equals(keyOf(hint))) {
                bytes += StoreCodec.encodedBytes(new StoredRecord.LearnedState(List.of(hint)));
                if (bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                hints.add(hint);
            }
        }
        return new StoredRecord.LearnedState(List.copyOf(hints));
    }

    /** Returns the key of the record that holds a hint. */
    private static String keyOf(Hint hint) {
        if (hint instanceof Hint.JobClassHint) {
            return CLASSES_KEY;
        }
        return hint instanceof Hint.JobHint ? JOBS_KEY : MACHINES_KEY;
    }

    private void write(String key, StoredRecord.LearnedState record) {
        long fencingToken = scheduler.fencingToken();
        isWriteInFlight = true;
        scheduler.otherWritesSent(1);
        store.transaction(
                new Transaction(
                        List.of(
                                new Transaction.Condition(StoreKeys.LEADER, fencingToken),
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        participant.featureFlags().version())),
                        List.of(new Transaction.Write(key, record, 0))),
                owner.onReply(reply -> new TermMessage.LearnedStateWritten(reply, fencingToken, key, record)));
    }

    /**
     * Handles the answer to a write. A write that failed, or whose outcome is unknown, is repeated, which is safe since only this leader
     * writes these records and the latest content counts.
     */
    void writeAnswered(TermMessage.LearnedStateWritten message) {
        isWriteInFlight = false;
        if (message.reply().ok()) {
            recordObserved(message.key(), message.state());
        }
    }
}
