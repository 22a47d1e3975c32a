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
 * Stores what a leader has learned during its term in a few records: run times, quarantined jobs, and slow, quarantined and deleted
 * machines, so that a leader that received no hints knows them too. One record at a time, only what changed, and only with writes that
 * scheduling and users leave over. Like hints, these records speed decisions up and never allow anything. Part of the leader's actor.
 */
final class LearnedStateWriter {
    /** How often a record is written at most: all of them within a minute. */
    private static final long WRITE_INTERVAL_MICROS = 2 * Micros.SECOND;

    private static final String CLASSES_KEY = StoreKeys.LEARNED_STATE + "classes";
    private static final String JOBS_KEY = StoreKeys.LEARNED_STATE + "jobs";
    private static final String MACHINES_KEY = StoreKeys.LEARNED_STATE + "machines";
    private static final List<String> KEYS = List.of(CLASSES_KEY, JOBS_KEY, MACHINES_KEY);
    private static final StoredRecord.LearnedState EMPTY = new StoredRecord.LearnedState(List.of());
    /** A time so long ago that nothing since then counts, chosen so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** What a record takes besides its hints. */
    private static final int RECORD_OVERHEAD_BYTES = 32;

    private final LeaderActor owner;
    private final Settings settings;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final RolloutParticipant participant;
    private final Map<String, StoredRecord.LearnedState> storedRecords = new HashMap<>();
    private boolean isWriteInFlight;
    /** Index of the key to look at next. */
    private int nextKeyIndex;

    private long lastAttemptMicros = NEVER_MICROS;

    LearnedStateWriter(
            LeaderActor owner, Settings settings, Scheduler scheduler, StoreClient store, RolloutParticipant rollout) {
        this.owner = owner;
        this.settings = settings;
        this.scheduler = scheduler;
        this.store = store;
        this.participant = rollout;
    }

    /** A record as it is stored. */
    void recordObserved(String key, StoredRecord.LearnedState record) {

        storedRecords.put(key, record);
    }

    /** Called every so often; writes at most one record. */
    void tick(long nowMicros) {
        if (isWriteInFlight
                || nowMicros - lastAttemptMicros < WRITE_INTERVAL_MICROS
                || !participant.featureFlags().isEnabled(Feature.LEARNED)) {
            return;
        }
        lastAttemptMicros = nowMicros;
        List<Hint> durable = scheduler.durableHints(nowMicros);
        for (int looked = 0; looked < KEYS.size(); looked++) {
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

    /** As much as a value takes; what is left out is learned anew. */
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

    private static String keyOf(Hint hint) {
        if (hint instanceof Hint.JobClassHint) {
            return CLASSES_KEY;
        }
        return hint instanceof Hint.JobHint ? JOBS_KEY : MACHINES_KEY;
    }

    private void write(String key, StoredRecord.LearnedState record) {
        long fencingToken = scheduler.fencingToken();

        isWriteInFlight = true;
        scheduler.writesSpent(1);
        store.transaction(
                new Transaction(
                        List.of(
                                new Transaction.Condition(StoreKeys.LEADER, fencingToken),
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        participant.featureFlags().version())),
                        List.of(new Transaction.Write(key, record, 0))),
                owner.answer(reply -> new TermMessage.LearnedStateWritten(reply, fencingToken, key, record)));
    }

    /** A write without an answer is repeated: the latest content counts, and only this leader writes. */
    void writeAnswered(TermMessage.LearnedStateWritten message) {

        isWriteInFlight = false;
        if (message.reply().ok()) {
            recordObserved(message.key(), message.state());
        }
    }
}
