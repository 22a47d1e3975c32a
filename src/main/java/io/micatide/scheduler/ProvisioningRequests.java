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
 * Requests for machines that are under way, in the four states of the design. Invariant: a claim is written before the call
 * goes out, so that the next leader knows of it; a call without an answer is unknown, and is settled only by a list that
 * shows the cloud as it was after the call could last have been carried out.
 */
final class ProvisioningRequests {
    /** Where a request stands. */
    enum State {
        /** Decided; its call goes out once its row is confirmed. */
        CLAIMED,
        /** Its call went out and was not answered yet. */
        SUBMITTED,
        /** Settled: its row is to be deleted. */
        DONE,
        /** Its call may have been executed or not. */
        UNKNOWN
    }

    /** One request to the cloud. */
    static final class Request {
        final String name;
        final String type;
        final String zone;
        final boolean spot;
        final int count;
        State state = State.CLAIMED;
        /** Whether its row is in the store. */
        boolean recorded;
        /** Of its row as it is known, 0 if there is none. */
        long version;
        /** Whether a write of its row is under way. */
        boolean writing;
        /** When it came into its state. */
        long sinceMicros;

        Request(String name, String type, String zone, boolean spot, int count, long nowMicros) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.count = count;
            this.sinceMicros = nowMicros;
        }
    }

    /** Machines of a type in a zone, as the cloud offers them. */
    record Offer(String type, String zone, boolean spot) {}

    /** A claim whose row is not confirmed within this is given up: what it was for may have gone. */
    private static final long CLAIM_TIMEOUT_MICROS = 10 * Micros.SECOND;

    private static final long FIRST_RETRY_PAUSE_MICROS = 8 * Micros.SECOND;
    private static final long MAX_RETRY_PAUSE_MICROS = 30 * Micros.SECOND;
    /** What the cloud has less machines than requested of is not requested for so long. */
    private static final long PARTIAL_ANSWER_PAUSE_MICROS = 8 * Micros.SECOND;

    private final Settings settings;
    private final long fencingToken;
    private int counter;
    private boolean isFenced;
    private long fenceVersion = -1;
    private long fenceNumber;
    /** Keys of rows that are being read back. */
    private final Set<String> rowsBeingReadBack = new HashSet<>();

    /** By name, in the order in which they were made. */
    final Map<String, Request> requests = new LinkedHashMap<>();

    private final Map<Offer, Long> backedOffUntil = new HashMap<>();
    private final Map<Offer, Long> retryPauses = new HashMap<>();

    /** @param fencingToken of the leader; becomes a part of the names of its requests */
    ProvisioningRequests(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    /** Whether the key is that of a request or of their fence. */
    static boolean owns(String key) {
        return key.equals(StoreKeys.PROVISIONING_FENCE) || key.startsWith(StoreKeys.PROVISIONING_REQUESTS);
    }

    /** Sets whether rows are written on condition of their versions and of the fence. */
    void setFenced(boolean fenced) {
        isFenced = fenced;
    }

    /** Whether rows are written on condition of their versions and of the fence. */
    boolean isFenced() {
        return isFenced;
    }

    /**
     * The fence as the store has it.
     *
     * @param version of its row, 0 if there is none
     * @param number how often it was moved
     */
    void fenceRead(long version, long number) {
        fenceVersion = version;
        fenceNumber = number;
    }

    /** The transaction that moved the fence is confirmed. */
    void fenceMoved(long version) {
        fenceRead(version, fenceNumber + 1);
    }

    /** Whether rows may be written: not before the fence is known, nor while one is read back. */
    boolean mayWrite() {
        return fenceVersion >= 0 && rowsBeingReadBack.isEmpty();
    }

    /** These rows are not as they were known, and are read back. */
    void markUnknown(Collection<String> keys) {
        rowsBeingReadBack.addAll(keys);
    }

    /**
     * A row was read back.
     *
     * @param row null if there is none
     * @param version 0 if there is none
     */
    void readBack(String key, StoredRecord row, long version) {
        rowsBeingReadBack.remove(key);
        if (key.equals(StoreKeys.PROVISIONING_FENCE)) {
            fenceRead(version, row instanceof StoredRecord.ProvisioningFence fence ? fence.number() : 0);
            return;
        }
        Request request = requests.get(key.substring(StoreKeys.PROVISIONING_REQUESTS.length()));
        if (request != null) {
            request.version = version;
            request.recorded = version > 0;
        }
    }

    /**
     * The conditions of a transaction that writes these requests. Where a row has been deleted, its version alone does not
     * tell it from one that never was: a put that arrives late would bring it back, and the next leader would wait for
     * machines that were settled long ago. So whatever deletes a row moves the fence.
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

    /** What is written besides these requests: the fence, if one of them is deleted; null for nothing. */
    Transaction.Write fence(List<Request> written) {
        boolean isAnyDeleted = written.stream().anyMatch(request -> request.state == State.DONE);
        return isFenced && isAnyDeleted
                ? new Transaction.Write(
                        StoreKeys.PROVISIONING_FENCE, new StoredRecord.ProvisioningFence(fenceNumber + 1), 0)
                : null;
    }

    /** Makes a request. Its name carries the fencing token, so that no two leaders ever use the same one. */
    Request create(Offer offer, int count, long nowMicros) {
        Request request = new Request(
                "r-" + fencingToken + "-" + ++counter, offer.type(), offer.zone(), offer.spot(), count, nowMicros);
        requests.put(request.name, request);
        return request;
    }

    /** Takes in a request of an earlier leader: whether its call went out is unknown. */
    void load(String name, StoredRecord.Provisioning row, long version, long nowMicros) {
        Request request = new Request(name, row.type(), row.zone(), row.spot(), row.count(), nowMicros);
        request.state = State.UNKNOWN;
        request.recorded = true;
        request.version = version;
        requests.put(name, request);
    }

    /** Whether the offer is not requested now since the cloud had too few machines of it. */
    boolean isBackedOff(Offer offer, long nowMicros) {
        return backedOffUntil.getOrDefault(offer, Long.MIN_VALUE) > nowMicros;
    }

    /** The cloud has none: the offer is requested again after a pause that doubles while the answer stays the same. */
    void recordNoCapacity(Request request, long nowMicros) {
        Offer offer = offer(request);
        long lastPauseMicros = retryPauses.getOrDefault(offer, FIRST_RETRY_PAUSE_MICROS / 2);
        long pauseMicros = Math.min(MAX_RETRY_PAUSE_MICROS, lastPauseMicros * 2);
        retryPauses.put(offer, pauseMicros);
        backedOffUntil.put(offer, nowMicros + pauseMicros);
        request.state = State.DONE;
    }

    /**
     * The call was executed.
     *
     * @param rented how many machines it gave
     */
    void recordAnswer(Request request, int rented, long nowMicros) {
        request.state = State.DONE;
        Offer offer = offer(request);
        if (rented < request.count) {
            backedOffUntil.put(offer, nowMicros + PARTIAL_ANSWER_PAUSE_MICROS);
        } else {
            retryPauses.remove(offer);
        }
    }

    private static Offer offer(Request request) {
        return new Offer(request.type, request.zone, request.spot);
    }

    /** The call was not answered: it may have been executed, or still be. */
    void outcomeUnknown(Request request, long nowMicros) {
        request.state = State.UNKNOWN;
        request.sinceMicros = nowMicros;
    }

    /**
     * Settles unknown requests that a list of machines is new enough for.
     *
     * @param askedMicros when the list was asked for; it is at most twice the list's lag older than that
     */
    void settleUnknownRequests(long askedMicros) {
        for (Request request : requests.values()) {
            if (request.state == State.UNKNOWN
                    && askedMicros - request.sinceMicros > 2 * settings.listLagMicros() + 5 * Micros.SECOND) {
                request.state = State.DONE;
            }
        }
    }

    /** At most so many requests whose rows are to be put or deleted with the next transaction; forgets what is settled. */
    List<Request> requestsToWrite(int most, long nowMicros) {
        List<Request> result = new ArrayList<>();
        Iterator<Request> iterator = requests.values().iterator();
        while (iterator.hasNext() && result.size() < most) {
            Request request = iterator.next();
            if (request.writing) {
                continue;
            }
            boolean isClaimToWrite = request.state == State.CLAIMED && !request.recorded;
            if (isClaimToWrite && nowMicros - request.sinceMicros > CLAIM_TIMEOUT_MICROS) {
                request.state = State.DONE;
            }
            if (request.state == State.DONE && !request.recorded) {
                iterator.remove();
            } else if (isClaimToWrite || request.state == State.DONE) {
                result.add(request);
            }
        }
        return result;
    }

    /** Claims whose row is confirmed and whose call may go out; they count as submitted. */
    List<Request> requestsToSubmit() {
        List<Request> result = new ArrayList<>();
        for (Request request : requests.values()) {
            if (request.state == State.CLAIMED && request.recorded) {
                request.state = State.SUBMITTED;
                result.add(request);
            }
        }
        return result;
    }

    /** How many machines of the offer are requested and not known by name yet. */
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
