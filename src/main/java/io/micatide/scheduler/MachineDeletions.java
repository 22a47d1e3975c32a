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
 * Records which machines are being deleted. Calls to the cloud are not fenced: a deletion may be executed minutes after the leader that
 * requested it was replaced, and would stop the tasks that its successor has placed on the machine since.
 *
 * <p>Invariant: a record names a machine before its deletion is requested, and no leader of any term places anything on a machine that a record
 * names; it repeats the request until the cloud answers. The record stays for a while after the answer, because ledgers may still name the
 * machine: a leader that has no hint of the deletion finds out about the machine by requesting its deletion once more.
 */
final class MachineDeletions {
    /** Time for which a record stays after the deletion of all its machines was answered. */
    private static final long RETENTION_MICROS = 60 * Micros.SECOND;
    /** Minimum time between records for machines that no job waits for, so that idle machines found one by one share a record. */
    private static final long BATCH_WINDOW_MICROS = 500 * Micros.MILLISECOND;
    /** The cloud's limit for the machines of one deletion call. */
    static final int MAX_MACHINES_PER_CALL = 100;

    /** Encoded size of a record without names. */
    private static final int RECORD_OVERHEAD_BYTES = 32;
    /** Encoded size of a name in a record beyond its characters. */
    private static final int NAME_OVERHEAD_BYTES = 3;
    /** A time before every time that a leader can observe; subtracting it from such a time does not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** A record in the store, or one being written, with the state of the machines that it names. */
    private static final class DeletionRecord {
        /** Named machines whose deletion has not been answered yet. */
        final Set<String> remainingMachines;

        /** Last known version in the store, 0 before its write is confirmed. */
        long version;

        boolean isStored;
        boolean isBeingRemoved;
        /** Time at which the cloud last answered the deletion of one of its machines, or -1. */
        long answeredMicros = -1;

        DeletionRecord(Collection<String> names) {
            remainingMachines = new HashSet<>(names);
        }
    }

    private final Settings settings;
    private final long fencingToken;
    /** Records by key, in the order in which they were created or loaded. */
    private final Map<String, DeletionRecord> records = new LinkedHashMap<>();
    /** Keys of records, by the name of a machine whose deletion has not been answered yet. */
    private final Map<String, String> keyByMachine = new HashMap<>();
    /** Keys of records whose version is unknown until they have been read back. */
    private final Set<String> keysBeingReadBack = new HashSet<>();

    private boolean requiresRecord;
    /** Number in the key of the record created last. */
    private int lastRecordNumber;

    private long lastWriteMicros = NEVER_MICROS;

    MachineDeletions(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    /** Returns whether the key is that of a record of machines to delete. */
    static boolean owns(String key) {
        return key.startsWith(StoreKeys.MACHINE_DELETIONS);
    }

    /** Sets whether a record has to name a machine before its deletion may be requested. */
    void setRecordRequired(boolean isRequired) {
        requiresRecord = isRequired;
    }

    /** Adds a record of a previous leader, whether or not the feature flags require records now. */
    void load(String key, List<String> names, long version) {
        DeletionRecord deletionRecord = new DeletionRecord(names);
        deletionRecord.version = version;
        deletionRecord.isStored = true;
        records.put(key, deletionRecord);
        names.forEach(name -> keyByMachine.put(name, key));
    }

    /** Returns whether the deletion of the machine may be requested now: its record is in the store, or none is required. */
    boolean mayRequest(Machine machine) {
        if (!requiresRecord) {
            return true;
        }
        DeletionRecord deletionRecord = records.get(keyByMachine.get(machine.name));
        return deletionRecord != null && deletionRecord.isStored;
    }

    /** Applies the cloud's answer to the deletion of the given machine. */
    void machineDeleted(String machine, long nowMicros) {
        DeletionRecord deletionRecord = records.get(keyByMachine.remove(machine));
        if (deletionRecord != null) {
            deletionRecord.remainingMachines.remove(machine);
            deletionRecord.answeredMicros = nowMicros;
        }
    }

    /**
     * Returns what the next transaction writes: at most one new record of machines to delete, and the deletion of at most one old record.
     *
     * @param machines the fleet
     * @param limit maximum number of writes
     */
    List<Transaction.Write> nextWrites(Collection<Machine> machines, int limit, long nowMicros) {
        List<Transaction.Write> writes = new ArrayList<>();
        if (!requiresRecord || !keysBeingReadBack.isEmpty()) {
            return writes;
        }
        List<Machine> unrecorded = unrecordedMachines(machines);
        if (!unrecorded.isEmpty() && limit > 0 && isDue(unrecorded, nowMicros)) {
            writes.add(createRecord(unrecorded, nowMicros));
        }
        if (writes.size() < limit) {
            deleteOneRecord(writes, nowMicros);
        }
        return writes;
    }

    /** Returns machines that are to be deleted and that no record names, at most as many as one record may name. */
    private List<Machine> unrecordedMachines(Collection<Machine> machines) {
        List<Machine> unrecorded = new ArrayList<>();
        int bytes = RECORD_OVERHEAD_BYTES;
        for (Machine machine : machines) {
            if (machine.deletionRequested && !keyByMachine.containsKey(machine.name)) {
                bytes += machine.name.length() + NAME_OVERHEAD_BYTES;
                if (unrecorded.size() == MAX_MACHINES_PER_CALL || bytes > settings.maxWritableValueBytes()) {
                    break;
                }
                unrecorded.add(machine);
            }
        }
        return unrecorded;
    }

    /** Returns whether to write a record now: the batch window has passed, or jobs wait for one of the machines to be deleted. */
    private boolean isDue(List<Machine> unrecorded, long nowMicros) {
        boolean isDue = nowMicros - lastWriteMicros >= BATCH_WINDOW_MICROS;
        for (Machine machine : unrecorded) {
            isDue |= machine.isAwaitedAfterFailover || !machine.placements.isEmpty();
        }
        return isDue;
    }

    private Transaction.Write createRecord(List<Machine> machines, long nowMicros) {
        lastWriteMicros = nowMicros;
        String key = StoreKeys.machineDeletion(fencingToken, ++lastRecordNumber);
        List<String> names = new ArrayList<>();
        for (Machine machine : machines) {
            names.add(machine.name);
            keyByMachine.put(machine.name, key);
        }
        records.put(key, new DeletionRecord(names));
        return new Transaction.Write(key, new StoredRecord.MachinesToDelete(List.copyOf(names)), 0);
    }

    private void deleteOneRecord(List<Transaction.Write> writes, long nowMicros) {
        for (Map.Entry<String, DeletionRecord> entry : records.entrySet()) {
            DeletionRecord deletionRecord = entry.getValue();
            if (deletionRecord.isStored
                    && !deletionRecord.isBeingRemoved
                    && deletionRecord.remainingMachines.isEmpty()
                    && nowMicros - deletionRecord.answeredMicros > RETENTION_MICROS) {
                deletionRecord.isBeingRemoved = true;
                writes.add(new Transaction.Write(entry.getKey(), null, 0));
                return;
            }
        }
    }

    /** Returns the conditions of a transaction with these writes: each record still has its last known version. */
    List<Transaction.Condition> conditions(List<Transaction.Write> writes) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        writes.forEach(
                write -> conditions.add(new Transaction.Condition(write.key(), records.get(write.key()).version)));
        return conditions;
    }

    /**
     * Applies the confirmation of the transaction with the given write.
     *
     * @param revision of the store that the transaction created
     */
    void written(Transaction.Write write, long revision) {
        if (write.record() == null) {
            records.remove(write.key());
        } else {
            DeletionRecord deletionRecord = records.get(write.key());
            deletionRecord.version = revision;
            deletionRecord.isStored = true;
        }
    }

    /** Reverts the given write, whose transaction was certainly not executed. */
    void notWritten(Transaction.Write write) {
        if (write.record() == null) {
            records.get(write.key()).isBeingRemoved = false;
        } else {
            forget(write.key());
        }
    }

    private void forget(String key) {
        records.remove(key);
        keyByMachine.values().removeIf(key::equals);
    }

    /** Marks the version of the given record as unknown: nothing is written before the record has been read back. */
    void markUnknown(String key) {
        keysBeingReadBack.add(key);
    }

    /**
     * Applies a record that was read back.
     *
     * @param version 0 if the store has no record under the key
     */
    void readBack(String key, long version) {
        keysBeingReadBack.remove(key);
        DeletionRecord deletionRecord = records.get(key);
        if (deletionRecord == null) {
            return;
        }
        if (version == 0) {
            forget(key);
        } else {
            deletionRecord.version = version;
            deletionRecord.isStored = true;
            deletionRecord.isBeingRemoved = false;
        }
    }
}
