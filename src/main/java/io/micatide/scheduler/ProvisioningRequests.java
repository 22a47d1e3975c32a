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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the provisioning requests whose records have not been deleted yet, and decides what to write to the store and send to the cloud for them.
 *
 * <p>Invariant: the store confirms the record of a request before its call to the cloud is sent, so that the next leader knows of the request. A
 * call without an answer has an unknown outcome, which is resolved only by a list of machines that shows the cloud as it was after the latest
 * time at which the call could have been executed.
 */
final class ProvisioningRequests {
    /** The states of a request. */
    enum State {
        /** The request was decided on; its call is sent once the store has confirmed its record. */
        CLAIMED,
        /** Its call was sent and has not been answered yet. */
        SUBMITTED,
        /** Its outcome is known, or it was given up before its call was sent; its record is to be deleted. */
        DONE,
        /** Its call got no answer, or a previous leader may have sent it: it may or may not have been executed. */
        UNKNOWN
    }

    /** A request to rent machines of one offer. */
    static final class Request {
        final String name;
        final String type;
        final String zone;
        final boolean spot;
        final int count;
        State state = State.CLAIMED;
        /** Whether its record is known to be in the store. */
        boolean isStored;
        /** Last known version of its record in the store, 0 if there is no record. */
        long version;
        /** Whether a put or deletion of its record is in flight. */
        boolean isWriteInFlight;
        /**
         * Time from which the timeout of its state counts: entry into {@link State#CLAIMED} or {@link State#UNKNOWN}, or the time at which its
         * call was sent.
         */
        long stateChangedMicros;

        Request(String name, String type, String zone, boolean spot, int count, long nowMicros) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.count = count;
            this.stateChangedMicros = nowMicros;
        }
    }

    /** An offer of the cloud: machines of one type in one zone, either spot or on-demand. */
    record Offer(String type, String zone, boolean spot) {}

    /** A claim whose record is not confirmed within this time is given up, since the tasks that it was made for may no longer wait. */
    private static final long CLAIM_TIMEOUT_MICROS = 10 * Micros.SECOND;

    /** Limits of the pause before an offer that was refused for lack of machines is requested again. */
    private static final long FIRST_RETRY_PAUSE_MICROS = 8 * Micros.SECOND;

    private static final long MAX_RETRY_PAUSE_MICROS = 30 * Micros.SECOND;
    /** Time for which an offer is not requested again after the cloud gave fewer machines than requested. */
    private static final long PARTIAL_ANSWER_PAUSE_MICROS = 8 * Micros.SECOND;

    private final Settings settings;
    private final long fencingToken;
    /** Number in the name of the request created last. */
    private int lastRequestNumber;

    private boolean isFenced;
    /** Version of the fence's record, 0 if there is none, -1 before it was read. */
    private long fenceVersion = -1;
    /** How often the fence was incremented. */
    private long fenceNumber;
    /** Keys of records whose version is unknown until they have been read back. */
    private final Set<String> keysBeingReadBack = new HashSet<>();

    /** Requests by name, in the order in which they were created. */
    final Map<String, Request> requests = new LinkedHashMap<>();

    /** Time until which an offer is not requested, by offer. */
    private final Map<Offer, Long> backedOffUntilMicros = new HashMap<>();
    /** Pause after the last refusal for lack of machines, by offer; absent once a request was fulfilled completely. */
    private final Map<Offer, Long> retryPausesMicros = new HashMap<>();

    /**
     * Creates the requests of a term, with no request yet.
     *
     * @param fencingToken of the leader; becomes a part of the names of its requests
     */
    ProvisioningRequests(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    /** Returns whether the key is that of a provisioning request's record or of the provisioning fence. */
    static boolean owns(String key) {
        return key.equals(StoreKeys.PROVISIONING_FENCE) || key.startsWith(StoreKeys.PROVISIONING_REQUESTS);
    }

    /** Sets whether records are written on condition of their versions and of the fence. */
    void setFenced(boolean fenced) {
        isFenced = fenced;
    }

    /** Returns whether records are written on condition of their versions and of the fence. */
    boolean isFenced() {
        return isFenced;
    }

    /**
     * Sets the fence to what was read from the store.
     *
     * @param version of its record, 0 if there is none
     * @param number how often it was incremented
     */
    void fenceRead(long version, long number) {
        fenceVersion = version;
        fenceNumber = number;
    }

    /**
     * Applies the confirmation of a transaction that incremented the fence.
     *
     * @param version of the fence's record after that transaction
     */
    void fenceIncremented(long version) {
        fenceRead(version, fenceNumber + 1);
    }

    /** Returns whether records may be written: the fence was read, and no record waits for being read back. */
    boolean mayWrite() {
        return fenceVersion >= 0 && keysBeingReadBack.isEmpty();
    }

    /** Marks the versions of the records with these keys as unknown until they have been read back. */
    void markUnknown(Collection<String> keys) {
        keysBeingReadBack.addAll(keys);
    }

    /**
     * Applies a record that was read back.
     *
     * @param storedRecord null if the store has none under the key
     * @param version 0 if the store has no record under the key
     */
    void readBack(String key, StoredRecord storedRecord, long version) {
        keysBeingReadBack.remove(key);
        if (key.equals(StoreKeys.PROVISIONING_FENCE)) {
            fenceRead(version, storedRecord instanceof StoredRecord.ProvisioningFence fence ? fence.number() : 0);
            return;
        }
        Request request = requests.get(key.substring(StoreKeys.PROVISIONING_REQUESTS.length()));
        if (request != null) {
            request.version = version;
            request.isStored = version > 0;
        }
    }

    /**
     * Returns the conditions of a transaction that writes the records of these requests; none while records are not fenced.
     *
     * <p>A deleted record has the same version, 0, as one that was never written. Without a further condition, a put that reaches the store late
     * would restore a deleted record, and the next leader would wait for machines of a request that was finished long ago. Therefore every
     * transaction that deletes a record also increments the fence, and every transaction has the fence's version as a condition.
     */
    List<Transaction.Condition> conditions(List<Request> written) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        if (isFenced && !written.isEmpty()) {
            for (Request request : written) {
                conditions.add(new Transaction.Condition(StoreKeys.provisioningRequest(request.name), request.version));
            }
            conditions.add(new Transaction.Condition(StoreKeys.PROVISIONING_FENCE, fenceVersion));
        }
        return conditions;
    }

    /** Returns the write that increments the fence, or null if none of these records is deleted or records are not fenced. */
    Transaction.Write fenceWrite(List<Request> written) {
        boolean isAnyDeleted = written.stream().anyMatch(request -> request.state == State.DONE);
        return isFenced && isAnyDeleted
                ? new Transaction.Write(
                        StoreKeys.PROVISIONING_FENCE, new StoredRecord.ProvisioningFence(fenceNumber + 1), 0)
                : null;
    }

    /** Creates a request. Its name contains the fencing token, so that no two leaders ever use the same name. */
    Request create(Offer offer, int count, long nowMicros) {
        Request request = new Request(
                "r-" + fencingToken + "-" + ++lastRequestNumber,
                offer.type(),
                offer.zone(),
                offer.spot(),
                count,
                nowMicros);
        requests.put(request.name, request);
        return request;
    }

    /** Adds a request of a previous leader, of which it is unknown whether its call was sent. */
    void load(String name, StoredRecord.Provisioning storedRecord, long version, long nowMicros) {
        Request request = new Request(
                name, storedRecord.type(), storedRecord.zone(), storedRecord.spot(), storedRecord.count(), nowMicros);
        request.state = State.UNKNOWN;
        request.isStored = true;
        request.version = version;
        requests.put(name, request);
    }

    /** Returns whether the offer is not to be requested yet because the cloud recently had too few machines of it. */
    boolean isBackedOff(Offer offer, long nowMicros) {
        return backedOffUntilMicros.getOrDefault(offer, Long.MIN_VALUE) > nowMicros;
    }

    /**
     * Marks a request as done after the cloud refused it for lack of machines. Its offer is requested again after a pause, which doubles with each
     * refusal in a row up to a limit.
     */
    void recordNoCapacity(Request request, long nowMicros) {
        Offer offer = offer(request);
        long lastPauseMicros = retryPausesMicros.getOrDefault(offer, FIRST_RETRY_PAUSE_MICROS / 2);
        long pauseMicros = Math.min(MAX_RETRY_PAUSE_MICROS, lastPauseMicros * 2);
        retryPausesMicros.put(offer, pauseMicros);
        backedOffUntilMicros.put(offer, nowMicros + pauseMicros);
        request.state = State.DONE;
    }

    /**
     * Marks a request as done whose call was executed.
     *
     * @param rentedCount number of machines that the cloud gave
     */
    void recordAnswer(Request request, int rentedCount, long nowMicros) {
        request.state = State.DONE;
        Offer offer = offer(request);
        if (rentedCount < request.count) {
            backedOffUntilMicros.put(offer, nowMicros + PARTIAL_ANSWER_PAUSE_MICROS);
        } else {
            retryPausesMicros.remove(offer);
        }
    }

    private static Offer offer(Request request) {
        return new Offer(request.type, request.zone, request.spot);
    }

    /** Marks a request whose call was not answered: it may have been executed, or be executed later. */
    void markOutcomeUnknown(Request request, long nowMicros) {
        request.state = State.UNKNOWN;
        request.stateChangedMicros = nowMicros;
    }

    /**
     * Marks requests of unknown outcome as done if a list of machines is recent enough to show the machines that they gave.
     *
     * @param requestSentMicros time at which the list was requested; the state that it shows is at most twice the configured list lag older than that
     */
    void resolveUnknownRequests(long requestSentMicros) {
        for (Request request : requests.values()) {
            if (request.state == State.UNKNOWN
                    && requestSentMicros - request.stateChangedMicros
                            > 2 * settings.listLagMicros() + 5 * Micros.SECOND) {
                request.state = State.DONE;
            }
        }
    }

    /** Returns up to {@code limit} requests whose records the next transaction puts or deletes. Removes requests that are done and have no record. */
    List<Request> requestsToWrite(int limit, long nowMicros) {
        List<Request> result = new ArrayList<>();
        Iterator<Request> iterator = requests.values().iterator();
        while (iterator.hasNext() && result.size() < limit) {
            Request request = iterator.next();
            if (request.isWriteInFlight) {
                continue;
            }
            boolean isClaimToWrite = request.state == State.CLAIMED && !request.isStored;
            if (isClaimToWrite && nowMicros - request.stateChangedMicros > CLAIM_TIMEOUT_MICROS) {
                request.state = State.DONE;
            }
            if (request.state == State.DONE && !request.isStored) {
                iterator.remove();
            } else if (isClaimToWrite || request.state == State.DONE) {
                result.add(request);
            }
        }
        return result;
    }

    /** Returns the claims whose record is confirmed, so that their calls may be sent, and marks them as submitted. */
    List<Request> requestsToSubmit() {
        List<Request> result = new ArrayList<>();
        for (Request request : requests.values()) {
            if (request.state == State.CLAIMED && request.isStored) {
                request.state = State.SUBMITTED;
                result.add(request);
            }
        }
        return result;
    }

    /** Returns the number of machines of the offer that are requested and whose names are not known yet. */
    int expectedMachines(Offer offer) {
        int count = 0;
        for (Request request : requests.values()) {
            if (request.state != State.DONE
                    && request.type.equals(offer.type())
                    && request.spot == offer.spot()
                    && request.zone.equals(offer.zone())) {
                count += request.count;
            }
        }
        return count;
    }
}
