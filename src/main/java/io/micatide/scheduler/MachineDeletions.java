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
 * Machines that are being deleted. What is asked of the cloud is not fenced: a deletion may be carried out minutes after the
 * leader that asked for it was replaced, and would take whatever its successor has placed there since.
 *
 * <p>Invariant: a row names a machine before its deletion is asked for, and no leader of any term places anything on a
 * machine that a row names; it asks for its deletion again, until that is answered. The row stays for a while after that,
 * since ledgers may name the machine still, and a leader that nobody told settles it by asking once more.
 */
final class MachineDeletions {
    /** How long a row stays after all its deletions were answered. */
    private static final long RETENTION_MICROS = 60 * Micros.SECOND;
    /** Deletions that nobody waits for are gathered for so long, so that a trickle of idle machines costs few rows. */
    private static final long BATCH_WINDOW_MICROS = 500 * Micros.MILLISECOND;
    /** The cloud's limit for a call. */
    static final int MAX_MACHINES_PER_CALL = 100;

    /** Of a row without any names. */
    private static final int ROW_OVERHEAD_BYTES = 32;
    /** Of each name in a row. */
    private static final int NAME_OVERHEAD_BYTES = 3;
    /** Before any time that a leader can see, and far enough from the end of the range to be subtracted. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** A row and the machines that it names. */
    private static final class DeletionRow {
        /** Machines whose deletion was not answered yet. */
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
    /** By key, in the order in which they were made or read. */
    private final Map<String, DeletionRow> rows = new LinkedHashMap<>();
    /** Keys of rows by the names of machines whose deletion was not answered yet. */
    private final Map<String, String> rowByMachine = new HashMap<>();
    /** Keys of rows that are being read back. */
    private final Set<String> rowsBeingReadBack = new HashSet<>();

    private boolean requiresRow;
    private int counter;
    private long lastWriteMicros = NEVER_MICROS;

    MachineDeletions(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    /** Whether the key is that of such a row. */
    static boolean owns(String key) {
        return key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    /** Whether from now on a row has to name a machine before its deletion is asked for. */
    void setRecorded(boolean recorded) {
        requiresRow = recorded;
    }

    /** Takes in a row of an earlier leader, whatever the feature flags say now. */
    void load(String key, List<String> names, long version) {

        DeletionRow row = new DeletionRow(names);
        row.version = version;
        row.isStored = true;
        rows.put(key, row);
        names.forEach(name -> rowByMachine.put(name, key));
    }

    /** Whether the machine's deletion may be asked for now. */
    boolean mayRequest(Machine machine) {
        if (!requiresRow) {
            return true;
        }

        DeletionRow row = rows.get(rowByMachine.get(machine.name));
        return row != null && row.isStored;
    }

    /** The cloud has answered the machine's deletion. */
    void machineDeleted(String machine, long nowMicros) {

        DeletionRow row = rows.get(rowByMachine.remove(machine));
        if (row != null) {
            row.remainingMachines.remove(machine);
            row.answeredMicros = nowMicros;
        }
    }

    /**
     * What the next transaction writes of this: at most one row that names machines, and one that is deleted.
     *
     * @param machines the fleet
     * @param most how many writes there may be
     */
    List<Transaction.Write> nextWrites(Collection<Machine> machines, int most, long nowMicros) {
        List<Transaction.Write> writes = new ArrayList<>();
        if (!requiresRow || !rowsBeingReadBack.isEmpty()) {
            return writes;
        }
        List<Machine> unrecorded = unrecordedMachines(machines);
        if (!unrecorded.isEmpty() && most > 0 && isDue(unrecorded, nowMicros)) {
            writes.add(createRow(unrecorded, nowMicros));
        }
        if (writes.size() < most) {
            deleteOneRow(writes, nowMicros);
        }
        return writes;
    }

    /** Machines that are to be deleted and that no row names, as many as one row may name. */
    private List<Machine> unrecordedMachines(Collection<Machine> machines) {
        List<Machine> unrecorded = new ArrayList<>();

        int bytes = ROW_OVERHEAD_BYTES;
        for (Machine machine : machines) {
            if (machine.deletionRequested && !rowByMachine.containsKey(machine.name)) {

                bytes += machine.name.length() + NAME_OVERHEAD_BYTES;
                if (unrecorded.size() == MAX_MACHINES_PER_CALL || bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                unrecorded.add(machine);
            }
        }
        return unrecorded;
    }

    private boolean isDue(List<Machine> unrecorded, long nowMicros) {
        boolean isDue = nowMicros - lastWriteMicros >= BATCH_WINDOW_MICROS;
        for (Machine machine : unrecorded) {
            isDue |= machine.isAwaitedAfterFailover || !machine.placements.isEmpty();
        }
        return isDue;
    }

    private Transaction.Write createRow(List<Machine> machines, long nowMicros) {
        lastWriteMicros = nowMicros;
        String key = StoreKeys.machineDeletion(fencingToken, ++counter);
        List<String> names = new ArrayList<>();
        for (Machine machine : machines) {
            names.add(machine.name);
            rowByMachine.put(machine.name, key);
        }
        rows.put(key, new DeletionRow(names));
        return new Transaction.Write(key, new StoredRecord.MachinesToDelete(List.copyOf(names)), 0);
    }

    private void deleteOneRow(List<Transaction.Write> writes, long nowMicros) {
        for (Map.Entry<String, DeletionRow> entry : rows.entrySet()) {

            DeletionRow row = entry.getValue();
            if (row.isStored
                    && !row.isBeingRemoved
                    && row.remainingMachines.isEmpty()
                    && nowMicros - row.answeredMicros > RETENTION_MICROS) {
                row.isBeingRemoved = true;
                writes.add(new Transaction.Write(entry.getKey(), null, 0));
                return;
            }
        }
    }

    /** The conditions under which these writes may be executed: each row is as it was known. */
    List<Transaction.Condition> conditions(List<Transaction.Write> writes) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        writes.forEach(write -> conditions.add(new Transaction.Condition(write.key(), rows.get(write.key()).version)));
        return conditions;
    }

    /**
     * The transaction with this write is confirmed.
     *
     * @param revision of the store that the transaction made
     */
    void written(Transaction.Write write, long revision) {
        if (write.record() == null) {
            rows.remove(write.key());
        } else {

            DeletionRow row = rows.get(write.key());
            row.version = revision;
            row.isStored = true;
        }
    }

    /** The transaction with this write was certainly not executed. */
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

    /** The row is not as it was known: nothing is written before it is read back. */
    void markUnknown(String key) {
        rowsBeingReadBack.add(key);
    }

    /**
     * A row was read back.
     *
     * @param version 0 if there is none
     */
    void readBack(String key, long version) {
        rowsBeingReadBack.remove(key);

        DeletionRow row = rows.get(key);
        if (row == null) {
            return;
        }
        if (version == 0) {
            forget(key);
        } else {
            row.version = version;
            row.isStored = true;
            row.isBeingRemoved = false;
        }
    }
}
