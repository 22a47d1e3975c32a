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
    private static final long RETENTION_MICROS = 60 * Micros.SECOND;
    /** What nobody waits for is gathered for so long, so that a trickle of idle machines costs few rows. */
    private static final long BATCH_WINDOW_MICROS = 500 * Micros.MILLISECOND;
    /** The cloud's limit for a call. */
    static final int MAX_MACHINES_PER_CALL = 100;

    private static final int FRAME_BYTES = 32;
    private static final int NAME_BYTES = 3;

    private static final class DeletionRow {
        final Set<String> remainingMachines;
        long version;
        boolean isStored;
        boolean isBeingRemoved;
        /** When the last deletion was answered, -1 before. */
        long answeredMicros = -1;

        DeletionRow(Collection<String> names) {
            remainingMachines = new HashSet<>(names);
        }
    }

    private final Settings settings;
    private final long fencingToken;
    private final Map<String, DeletionRow> rows = new LinkedHashMap<>();
    private final Map<String, String> rowByMachine = new HashMap<>();
    /** Rows that are being read back. */
    private final Set<String> rowsBeingReadBack = new HashSet<>();

    private boolean requiresRow;
    private int counter;
    private long lastWriteMicros = Long.MIN_VALUE / 2;

    MachineDeletions(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    static boolean owns(String key) {
        return key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    /** Whether from now on a row has to name a machine before its deletion is asked for. */
    void setRecorded(boolean recorded) {
        requiresRow = recorded;
    }

    /** A row of an earlier leader, whatever the switches say now. */
    void load(String key, List<String> names, long version) {
        DeletionRow entry = new DeletionRow(names);
        entry.version = version;
        entry.isStored = true;
        rows.put(key, entry);
        names.forEach(name -> rowByMachine.put(name, key));
    }

    /** Whether its deletion may be asked for. */
    boolean mayRequest(Machine machine) {
        if (!requiresRow) {
            return true;
        }
        DeletionRow entry = rows.get(rowByMachine.get(machine.name));
        return entry != null && entry.isStored;
    }

    /** The cloud has answered its deletion. */
    void machineDeleted(String machine, long nowMicros) {
        DeletionRow entry = rows.get(rowByMachine.remove(machine));
        if (entry != null) {
            entry.remainingMachines.remove(machine);
            entry.answeredMicros = nowMicros;
        }
    }

    /** What the next round writes of this: one row that names machines, and one that goes. */
    List<Transaction.Write> nextWrites(Collection<Machine> machines, int most, long nowMicros) {
        List<Transaction.Write> writes = new ArrayList<>();
        if (!requiresRow || !rowsBeingReadBack.isEmpty()) {
            return writes;
        }
        List<String> names = new ArrayList<>();
        boolean urgent = nowMicros - lastWriteMicros >= BATCH_WINDOW_MICROS;
        int bytes = FRAME_BYTES;
        for (Machine machine : machines) {
            if (machine.deletionRequested
                    && !rowByMachine.containsKey(machine.name)
                    && names.size() < MAX_MACHINES_PER_CALL) {
                bytes += machine.name.length() + NAME_BYTES;
                if (bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                names.add(machine.name);
                urgent |= machine.delaysRecovery || !machine.placements.isEmpty();
            }
        }
        if (!names.isEmpty() && urgent && most > 0) {
            lastWriteMicros = nowMicros;
            String key = StoreKeys.machineDeletion(fencingToken, ++counter);
            rows.put(key, new DeletionRow(names));
            names.forEach(name -> rowByMachine.put(name, key));
            writes.add(new Transaction.Write(key, new StoredRecord.MachinesToDelete(List.copyOf(names)), 0));
        }
        for (Map.Entry<String, DeletionRow> each : rows.entrySet()) {
            DeletionRow entry = each.getValue();
            if (writes.size() < most
                    && entry.isStored
                    && !entry.isBeingRemoved
                    && entry.remainingMachines.isEmpty()
                    && nowMicros - entry.answeredMicros > RETENTION_MICROS) {
                entry.isBeingRemoved = true;
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
            DeletionRow entry = rows.get(write.key());
            entry.version = revision;
            entry.isStored = true;
        }
    }

    /** The round with this write was certainly not executed. */
    void notWritten(Transaction.Write write) {
        if (write.record() == null) {
            rows.get(write.key()).isBeingRemoved = false;
        } else {
            forget(write.key());
        }
    }

    private void forget(String key) {
        rows.remove(key);
        rowByMachine.values().removeIf(key::equals);
    }

    /** A row that is not as it was known: nothing is written before it is read back. */
    void markUnknown(String key) {
        rowsBeingReadBack.add(key);
    }

    /** A row as read back, version 0 if there is none. */
    void readBack(String key, long version) {
        rowsBeingReadBack.remove(key);
        DeletionRow entry = rows.get(key);
        if (entry == null) {
            return;
        }
        if (version == 0) {
            forget(key);
        } else {
            entry.version = version;
            entry.isStored = true;
            entry.isBeingRemoved = false;
        }
    }
}
