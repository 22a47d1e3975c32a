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
 * A term's part in what is learned: keeps run times, suspicions, slow, faulty and returned machines in a few rows, so that a leader that nobody
 * told knows them too. One row at a time, only what changed, and only with changes that rounds and users leave over. As hints these rows
 * speed up and never allow.
 */
final class LearnedStateWriter {
    /** All of them in a minute and no more than a change each two seconds. */
    private static final long EVERY_MICROS = 2 * Micros.SECOND;

    private static final List<String> KEYS = List.of(
            StoreKeys.LEARNED_STATE + "classes",
            StoreKeys.LEARNED_STATE + "jobs",
            StoreKeys.LEARNED_STATE + "machines");
    /** What the frame of a row takes. */
    private static final int FRAME_BYTES = 32;

    private final LeaderActor owner;
    private final Settings settings;
    private final Scheduler scheduler;
    private final StoreClient state;
    private final RolloutParticipant rollout;
    private final Map<String, StoredRecord.LearnedState> stored = new HashMap<>();
    private boolean writing;
    private int next;
    private long triedMicros = Long.MIN_VALUE / 2;

    LearnedStateWriter(
            LeaderActor owner, Settings settings, Scheduler scheduler, StoreClient state, RolloutParticipant rollout) {
        this.owner = owner;
        this.settings = settings;
        this.scheduler = scheduler;
        this.state = state;
        this.rollout = rollout;
    }

    /** A row as an earlier leader left it. */
    void found(String key, StoredRecord.LearnedState row) {
        stored.put(key, row);
    }

    void tick(long now) {
        if (writing || now - triedMicros < EVERY_MICROS || !rollout.switches().on(Feature.LEARNED)) {
            return;
        }
        triedMicros = now;
        List<Hint> lasting = scheduler.durableHints(now);
        for (int tries = 0; tries < KEYS.size(); tries++) {
            String key = KEYS.get(next);
            next = (next + 1) % KEYS.size();
            StoredRecord.LearnedState row = row(key, lasting);
            if (!row.equals(stored.getOrDefault(key, new StoredRecord.LearnedState(List.of())))) {
                if (scheduler.spareWriteBudget(now) >= 1) {
                    write(key, row);
                }
                return;
            }
        }
    }

    /** As much as a value takes; what is left out is learned anew. */
    private StoredRecord.LearnedState row(String key, List<Hint> lasting) {
        List<Hint> hints = new ArrayList<>();
        int bytes = FRAME_BYTES;
        for (Hint hint : lasting) {
            if (key.equals(KEYS.get(hint instanceof Hint.JobClassHint ? 0 : hint instanceof Hint.JobHint ? 1 : 2))) {
                bytes += StoreCodec.encodedBytes(new StoredRecord.LearnedState(List.of(hint)));
                if (bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                hints.add(hint);
            }
        }
        return new StoredRecord.LearnedState(List.copyOf(hints));
    }

    private void write(String key, StoredRecord.LearnedState row) {
        long fencingToken = scheduler.fencingToken();
        writing = true;
        scheduler.writesSpent(1);
        state.transaction(
                new Transaction(
                        List.of(
                                new Transaction.Condition(StoreKeys.LEADER, fencingToken),
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        rollout.switches().version())),
                        List.of(new Transaction.Write(key, row, 0))),
                owner.answer(r -> new TermMessage.LearnedStored(r, fencingToken, key, row)));
    }

    /** Without an answer it is written again: it is the latest that counts, and only this leader writes. */
    void stored(TermMessage.LearnedStored message) {
        writing = false;
        if (message.reply().ok()) {
            found(message.key(), message.row());
        }
    }
}
