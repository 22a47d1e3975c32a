package io.micatide.rollout;

import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * Keeps the registration of this controller in the store up to date. The registration is a record, attached to the controller's lease,
 * that states the capabilities of its version and the version of the feature stages on which it acts. It is written again whenever the
 * controller has a new lease or newer stages. The write has the versions of the stages and of the record itself as conditions, so that a
 * late write of a previous process of this controller is rejected. At most one request is in flight. Times are in microseconds.
 */
public final class ControllerRegistration {
    /** What the caller should do next. It must report the outcome of each action other than {@link #NOTHING}. */
    public enum Action {
        /** Do nothing for now. */
        NOTHING,
        /** Read the record under {@link ControllerRegistration#key}. */
        READ,
        /** Execute {@link ControllerRegistration#registrationTransaction}. */
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
    /** Version of the stored record, 0 if there is none, {@link #NOT_KNOWN} while it has to be read. */
    private long recordVersion = NOT_KNOWN;

    /** Lease for which the latest action was returned. */
    private long requestedLease;
    /** Version of the feature stages for which the latest action was returned. */
    private long requestedFlagsVersion;
    /** Lease of the latest stored registration, 0 before the first. */
    private long registeredLease;

    /** Version of the feature stages in the latest stored registration. */
    private long registeredFlagsVersion = NOT_KNOWN;

    /**
     * Creates the registration of a process that has just started.
     *
     * @param label label of this controller
     * @param build version of this program, shown to operators
     * @param capabilities capabilities of this version
     * @param startedWallMicros time of day at which this process started
     */
    public ControllerRegistration(String label, String build, Capabilities capabilities, long startedWallMicros) {
        this.key = StoreKeys.controller(label);
        this.build = build;
        this.capabilities = capabilities;
        this.startedWallMicros = startedWallMicros;
    }

    /**
     * Returns the key of this controller's record.
     *
     * @return a key under {@link StoreKeys#CONTROLLERS}
     */
    public String key() {
        return key;
    }

    /**
     * Returns the next action. After one other than {@link Action#NOTHING} a request counts as in flight until its outcome is reported.
     *
     * @param lease the lease of this controller, 0 if it has none
     * @param flagsVersion version of the feature stages on which this controller acts, -1 while they are not known
     * @param nowMicros the present time
     * @return the action
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
     * Returns the transaction to execute after {@link Action#PUT}.
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
     * Reports that {@link Action#READ} succeeded.
     *
     * @param version version of the record, 0 if there is none
     */
    public void recordRead(long version) {
        isRequestInFlight = false;
        recordVersion = version;
    }

    /**
     * Reports that {@link Action#PUT} succeeded.
     *
     * @param revision revision of the store after the write, which is the version of the record
     */
    public void registrationStored(long revision) {
        isRequestInFlight = false;
        recordVersion = revision;
        registeredLease = requestedLease;
        registeredFlagsVersion = requestedFlagsVersion;
    }

    /**
     * Reports that the request was rejected or that its outcome is unknown. After a pause the record is read before the next write.
     *
     * @param nowMicros the present time
     */
    public void outcomeUnknown(long nowMicros) {
        recordVersion = NOT_KNOWN;
        requestFailed(nowMicros);
    }

    /**
     * Reports that the request was certainly not executed. It is retried after a pause.
     *
     * @param nowMicros the present time
     */
    public void requestFailed(long nowMicros) {
        isRequestInFlight = false;
        retryMicros = nowMicros + RETRY_PAUSE_MICROS;
    }
}
