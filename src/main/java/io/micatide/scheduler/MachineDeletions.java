package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Machines that are given back. What is asked of the cloud is not fenced: a deletion may be carried out minutes after the leader that
 * asked for it was replaced, and would take whatever its successor has placed there since. So a row names them first, and no leader of any
 * term places anything on a machine that a row names: it asks for its deletion again, until that is answered. The row stays for a while after
 * that, since ledgers may name the machine still, and a leader that nobody told settles it by asking once more.
 */
final class MachineDeletions {
    private static final long KEEP_MICROS = 60 * Micros.SECOND;
    /** What nobody waits for is gathered for so long, so that a trickle of idle machines costs few rows. */
    private static final long GATHER_MICROS = 500 * Micros.MILLISECOND;
    /** The cloud's limit for a call. */
    private static final int MOST_NAMES = 100;

    private static final int FRAME_BYTES = 32;
    private static final int NAME_BYTES = 3;

    private static final class Entry {
        final Set<String> left;
        long version;
        boolean stored;
        boolean removing;
        /** When the last deletion was answered, -1 before. */
        long answeredMicros = -1;

        Entry(Collection<String> names) {
            left = new HashSet<>(names);
        }
    }

    private final Settings settings;
    private final long fencingToken;
    private final Map<String, Entry> rows = new LinkedHashMap<>();
    private final Map<String, String> rowOf = new HashMap<>();
    /** Rows that are being read back. */
    private final Set<String> unknown = new HashSet<>();

    private boolean setRecorded;
    private int counter;
    private long wroteMicros = Long.MIN_VALUE / 2;

    MachineDeletions(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    static boolean owns(String key) {
        return key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    /** Whether from now on a row has to name a machine before its deletion is asked for. */
    void setRecorded(boolean now) {
        setRecorded = now;
    }

    /** A row of an earlier leader, whatever the switches say now. */
    void load(String key, List<String> names, long version) {
        Entry entry = new Entry(names);
        entry.version = version;
        entry.stored = true;
        rows.put(key, entry);
        names.forEach(name -> rowOf.put(name, key));
    }

    /** Whether its deletion may be asked for. */
    boolean mayRequest(Machine machine) {
        if (!setRecorded) {
            return true;
        }
        Entry entry = rows.get(rowOf.get(machine.name));
        return entry != null && entry.stored;
    }

    /** The cloud has answered its deletion. */
    void machineDeleted(String machine, long nowMicros) {
        Entry entry = rows.get(rowOf.remove(machine));
        if (entry != null) {
            entry.left.remove(machine);
            entry.answeredMicros = nowMicros;
        }
    }

    /** What the next round writes of this: one row that names machines, and one that goes. */
    List<Transaction.Write> nextWrites(Collection<Machine> machines, int most, long nowMicros) {
        List<Transaction.Write> writes = new ArrayList<>();
        if (!setRecorded || !unknown.isEmpty()) {
            return writes;
        }
        List<String> names = new ArrayList<>();
        boolean urgent = nowMicros - wroteMicros >= GATHER_MICROS;
        int bytes = FRAME_BYTES;
        for (Machine machine : machines) {
            if (machine.deletionRequested && !rowOf.containsKey(machine.name) && names.size() < MOST_NAMES) {
                bytes += machine.name.length() + NAME_BYTES;
                if (bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                names.add(machine.name);
                urgent |= machine.awaitedAfterFailover || !machine.placements.isEmpty();
            }
        }
        if (!names.isEmpty() && urgent && most > 0) {
            wroteMicros = nowMicros;
            String key = StoreKeys.machineDeletion(fencingToken, ++counter);
            rows.put(key, new Entry(names));
            names.forEach(name -> rowOf.put(name, key));
            writes.add(new Transaction.Write(key, new StoredRecord.MachinesToDelete(List.copyOf(names)), 0));
        }
        for (Map.Entry<String, Entry> each : rows.entrySet()) {
            Entry entry = each.getValue();
            if (writes.size() < most
                    && entry.stored
                    && !entry.removing
                    && entry.left.isEmpty()
                    && nowMicros - entry.answeredMicros > KEEP_MICROS) {
                entry.removing = true;
                writes.add(new Transaction.Write(each.getKey(), null, 0));
                break;
            }
        }
        return writes;
    }

    List<Transaction.Condition> conditions(List<Transaction.Write> writes) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        writes.forEach(write -> conditions.add(new Transaction.Condition(write.key(), rows.get(write.key()).version)));
        return conditions;
    }

    /** The round with this write is confirmed. */
    void written(Transaction.Write write, long revision) {
        if (write.record() == null) {
            rows.remove(write.key());
        } else {
            Entry entry = rows.get(write.key());
            entry.version = revision;
            entry.stored = true;
        }
    }

    /** The round with this write was certainly not executed. */
    void notWritten(Transaction.Write write) {
        if (write.record() == null) {
            rows.get(write.key()).removing = false;
        } else {
            forget(write.key());
        }
    }

    private void forget(String key) {
        rows.remove(key);
        rowOf.values().removeIf(key::equals);
    }

    /** A row that is not as it was known: nothing is written before it is read back. */
    void markUnknown(String key) {
        unknown.add(key);
    }

    /** A row as read back, version 0 if there is none. */
    void readBack(String key, long version) {
        unknown.remove(key);
        Entry entry = rows.get(key);
        if (entry == null) {
            return;
        }
        if (version == 0) {
            forget(key);
        } else {
            entry.version = version;
            entry.stored = true;
            entry.removing = false;
        }
    }
}
