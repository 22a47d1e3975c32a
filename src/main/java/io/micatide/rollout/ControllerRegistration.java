package io.micatide.rollout;

import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * The registration of this controller: a record, attached to its lease, of what its version can do and on which version of the feature
 * stages it acts. It is put again whenever the controller has a new lease or newer stages. The put has the stages and the record's own
 * version as conditions, so one of a former process that arrives late is refused. One request is in flight at a time. Times in
 * microseconds.
 */
public final class ControllerRegistration {
    /** What to do next; each one but {@link #NOTHING} must be followed by its outcome. */
    public enum Action {
        /** Nothing for now. */
        NOTHING,
        /** Read the record under {@link ControllerRegistration#key}. */
        READ,
        /** Carry out {@link ControllerRegistration#registrationTransaction}. */
        PUT
    }

    private static final long RETRY_PAUSE_MICROS = 300 * Micros.MILLISECOND;
    private static final long NOT_KNOWN = -1;

    private final String key;
    private final String build;
    private final Capabilities capabilities;
    private final long startedWallMicros;
    private boolean isRequestInFlight;
    private long retryMicros = Long.MIN_VALUE;
    /** Of the stored record, 0 if there is none, {@link #NOT_KNOWN} before it was read. */
    private long recordVersion = NOT_KNOWN;

    private long requestedLease;
    private long requestedFlagsVersion;
    /** What the stored record says. */
    private long registeredLease;

    private long registeredFlagsVersion = NOT_KNOWN;

    /**
     * Makes the registration of a process that begins.
     *
     * @param label of this controller
     * @param build the version of this program, for operators
     * @param capabilities of this version
     * @param startedWallMicros time of day at which this process began
     */
    public ControllerRegistration(String label, String build, Capabilities capabilities, long startedWallMicros) {
        this.key = StoreKeys.controller(label);
        this.build = build;
        this.capabilities = capabilities;
        this.startedWallMicros = startedWallMicros;
    }

    /**
     * The key of the controller's record.
     *
     * @return a key under {@link StoreKeys#CONTROLLERS}
     */
    public String key() {
        return key;
    }

    /**
     * Chooses the next action; after one other than {@link Action#NOTHING} a request is in flight.
     *
     * @param lease the lease of this controller, 0 if it has none
     * @param flagsVersion version of the feature stages on which it acts, -1 while they are not known
     * @param nowMicros the present time
     * @return what to do
     */
    public Action nextAction(long lease, long flagsVersion, long nowMicros) {
        boolean isUpToDate = lease == registeredLease && flagsVersion == registeredFlagsVersion;
        boolean canRegister = capabilities.supportsRegistration() && lease != 0 && flagsVersion >= 0;
        if (!canRegister || isUpToDate || isRequestInFlight || nowMicros < retryMicros) {
            return Action.NOTHING;
        }
        isRequestInFlight = true;
        requestedLease = lease;
        requestedFlagsVersion = flagsVersion;
        return recordVersion < 0 ? Action.READ : Action.PUT;
    }

    /**
     * What to write after {@link Action#PUT}.
     *
     * @return the transaction
     */
    public Transaction registrationTransaction() {
        return new Transaction(
                List.of(
                        new Transaction.Condition(StoreKeys.FEATURE_STAGES, requestedFlagsVersion),
                        new Transaction.Condition(key, recordVersion)),
                List.of(new Transaction.Write(
                        key,
                        new StoredRecord.RegisteredController(
                                build, capabilities.knownFeatureKeys(), requestedFlagsVersion, startedWallMicros),
                        requestedLease)));
    }

    /**
     * Outcome of {@link Action#READ}.
     *
     * @param version of the record, 0 if there is none
     */
    public void recordRead(long version) {
        isRequestInFlight = false;
        recordVersion = version;
    }

    /**
     * Outcome of {@link Action#PUT}: it is stored.
     *
     * @param revision of the store, which is the record's version
     */
    public void registrationStored(long revision) {
        isRequestInFlight = false;
        recordVersion = revision;
        registeredLease = requestedLease;
        registeredFlagsVersion = requestedFlagsVersion;
    }

    /**
     * The request was refused or its outcome is unknown: the record is read before the next try.
     *
     * @param nowMicros the present time
     */
    public void outcomeUnknown(long nowMicros) {
        recordVersion = NOT_KNOWN;
        requestFailed(nowMicros);
    }

    /**
     * The request was certainly not executed; it is tried again after a pause.
     *
     * @param nowMicros the present time
     */
    public void requestFailed(long nowMicros) {
        isRequestInFlight = false;
        retryMicros = nowMicros + RETRY_PAUSE_MICROS;
    }
}
