package io.micatide.rollout;

import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * That this controller is there, what it can do and by which switches it acts: a row that is attached to its lease, put again whenever it
 * has a new lease or newer switches. The put has the switches and the row's own version as conditions, so one of a former life that
 * arrives late is refused. Times in microseconds.
 */
public final class ControllerRegistration {
    /** What to do next; every wish but NOTHING must be followed by its outcome. */
    public enum Action {
        NOTHING,
        READ,
        PUT
    }

    private static final long RETRY_PAUSE_MICROS = 300 * Micros.MILLISECOND;

    private final String key;
    private final String build;
    private final Capabilities capabilities;
    private final long startedWall;
    private boolean requestInFlight;
    private long retryMicros = Long.MIN_VALUE / 2;
    /** Of the own row; -1 before it was read. */
    private long recordVersion = -1;

    private long requestedLease;
    private long requestedFlagsVersion;
    private long registeredLease;
    private long registeredFlagsVersion = -1;

    /**
     * @param build the version of this program, for operators
     * @param sinceWall time of day at which this process began
     */
    public ControllerRegistration(String label, String build, Capabilities capabilities, long sinceWall) {
        this.capabilities = capabilities;
        this.key = StoreKeys.controller(label);
        this.build = build;
        this.startedWall = sinceWall;
    }

    /** The controller's own row. */
    public String key() {
        return key;
    }

    /**
     * @param leaseNow the lease of this controller, 0 if it has none
     * @param actsNow version of the switches by which it acts, -1 while they are not known
     */
    public Action nextAction(long leaseNow, long actsNow, long nowMicros) {
        if (!capabilities.supportsRegistration()
                || requestInFlight
                || nowMicros < retryMicros
                || leaseNow == 0
                || actsNow < 0
                || (leaseNow == registeredLease && actsNow == registeredFlagsVersion)) {
            return Action.NOTHING;
        }
        requestInFlight = true;
        requestedLease = leaseNow;
        requestedFlagsVersion = actsNow;
        return recordVersion < 0 ? Action.READ : Action.PUT;
    }

    /** What to write after {@link Action#PUT}. */
    public Transaction registrationTransaction() {
        return new Transaction(
                List.of(
                        new Transaction.Condition(StoreKeys.FEATURE_STAGES, requestedFlagsVersion),
                        new Transaction.Condition(key, recordVersion)),
                List.of(new Transaction.Write(
                        key,
                        new StoredRecord.RegisteredController(
                                build, capabilities.knownFeatureKeys(), requestedFlagsVersion, startedWall),
                        requestedLease)));
    }

    /** The own row as read, version 0 if there is none. */
    public void recordRead(long version) {
        requestInFlight = false;
        recordVersion = version;
    }

    public void registrationStored(long revision) {
        requestInFlight = false;
        recordVersion = revision;
        registeredLease = requestedLease;
        registeredFlagsVersion = requestedFlagsVersion;
    }

    /** Refused or of unknown outcome: the row is read before the next try. */
    public void outcomeUnknown(long nowMicros) {
        requestInFlight = false;
        recordVersion = -1;
        retryMicros = nowMicros + RETRY_PAUSE_MICROS;
    }

    /** Certainly not executed. */
    public void requestFailed(long nowMicros) {
        requestInFlight = false;
        retryMicros = nowMicros + RETRY_PAUSE_MICROS;
    }
}
