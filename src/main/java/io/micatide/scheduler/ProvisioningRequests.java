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
 * Rentals under way, in the four states of the design. A claim is written before the call; a call without an answer is
 * unknown, and is settled by a list that shows the cloud as it was after the call could last have been carried out.
 */
final class ProvisioningRequests {
    enum State {
        CLAIMED,
        SUBMITTED,
        DONE,
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
        boolean recorded;
        /** Of its row as it is known, 0 if there is none. */
        long version;

        boolean writing;
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

    /** Where machines can be rented. */
    record Offer(String type, String zone, boolean spot) {}

    private static final long CLAIM_TIMEOUT_MICROS = 10 * Micros.SECOND;

    private final Settings settings;
    private final long fencingToken;
    private int counter;
    private boolean isFenced;
    private long fenceVersion = -1;
    private long fenceNumber;
    /** Rows that are being read back. */
    private final Set<String> outcomeUnknown = new HashSet<>();

    final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<Offer, Long> backedOffUntil = new HashMap<>();
    private final Map<Offer, Long> retryPauses = new HashMap<>();

    ProvisioningRequests(Settings settings, long fencingToken) {
        this.settings = settings;
        this.fencingToken = fencingToken;
    }

    /** Whether the key is that of a request or of their fence. */
    static boolean owns(String key) {
        return key.equals(StoreKeys.PROVISIONING_FENCE) || key.startsWith(StoreKeys.PROVISIONING_REQUESTS);
    }

    // ---- on condition of versions

    /** From now on rows are written on condition of their versions and of the fence, or no more. */
    void setFenced(boolean fenced) {
        isFenced = fenced;
    }

    boolean isFenced() {
        return isFenced;
    }

    /** The fence as the state service has it. */
    void fenceRead(long version, long number) {
        fenceVersion = version;
        fenceNumber = number;
    }

    /** The round that moved the fence is confirmed. */
    void fenceMoved(long version) {
        fenceRead(version, fenceNumber + 1);
    }

    /** Whether rows may be written: not before the fence is known, nor while one is read back. */
    boolean mayWrite() {
        return fenceVersion >= 0 && outcomeUnknown.isEmpty();
    }

    /** These rows are not as they were known, and are read back. */
    void markUnknown(Collection<String> keys) {
        outcomeUnknown.addAll(keys);
    }

    /** A row as read back, version 0 if there is none. */
    void readBack(String key, StoredRecord row, long version) {
        outcomeUnknown.remove(key);
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
     * What a round that writes these has as conditions. Where a row has gone, its version alone does not tell it from one that never was: a
     * put that arrives late would bring it back, and the next leader would wait for machines that were settled long ago. So whatever
     * deletes a row moves the fence.
     */
    List<Transaction.Condition> conditions(List<Request> written) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        if (isFenced && !written.isEmpty()) {
            written.forEach(each ->
                    conditions.add(new Transaction.Condition(StoreKeys.provisioningRequest(each.name), each.version)));
            conditions.add(new Transaction.Condition(StoreKeys.PROVISIONING_FENCE, fenceVersion));
        }
        return conditions;
    }

    /** What is written beside these: the fence, if one of them is deleted; null for nothing. */
    Transaction.Write fence(List<Request> written) {
        return isFenced && written.stream().anyMatch(each -> each.state == State.DONE)
                ? new Transaction.Write(
                        StoreKeys.PROVISIONING_FENCE, new StoredRecord.ProvisioningFence(fenceNumber + 1), 0)
                : null;
    }

    /** The name carries the token, so that no two leaders ever use the same one. */
    Request create(Offer offer, int count, long nowMicros) {
        Request request = new Request(
                "r-" + fencingToken + "-" + ++counter, offer.type(), offer.zone(), offer.spot(), count, nowMicros);
        requests.put(request.name, request);
        return request;
    }

    /** A request of an earlier leader: whether its call went out is unknown. */
    void load(String name, StoredRecord.Provisioning row, long version, long nowMicros) {
        Request request = new Request(name, row.type(), row.zone(), row.spot(), row.count(), nowMicros);
        request.state = State.UNKNOWN;
        request.recorded = true;
        request.version = version;
        requests.put(name, request);
    }

    boolean isBackedOff(Offer offer, long nowMicros) {
        return backedOffUntil.getOrDefault(offer, Long.MIN_VALUE) > nowMicros;
    }

    /** No capacity: asks again after a pause that grows while the answer stays the same. */
    void recordNoCapacity(Request request, long nowMicros) {
        Offer offer = new Offer(request.type, request.zone, request.spot);
        long pause = Math.min(30 * Micros.SECOND, retryPauses.getOrDefault(offer, 4 * Micros.SECOND) * 2);
        retryPauses.put(offer, pause);
        backedOffUntil.put(offer, nowMicros + pause);
        request.state = State.DONE;
    }

    void recordAnswer(Request request, int rented, long nowMicros) {
        request.state = State.DONE;
        Offer offer = new Offer(request.type, request.zone, request.spot);
        if (rented < request.count) {
            backedOffUntil.put(offer, nowMicros + 8 * Micros.SECOND);
        } else {
            retryPauses.remove(offer);
        }
    }

    void outcomeUnknown(Request request, long nowMicros) {
        request.state = State.UNKNOWN;
        request.sinceMicros = nowMicros;
    }

    /** The list was asked for at {@code askedMicros}: it is at most twice the lag older than that. */
    void settleUnknownRequests(long askedMicros) {
        for (Request request : requests.values()) {
            if (request.state == State.UNKNOWN
                    && askedMicros - request.sinceMicros > 2 * settings.listLagMicros() + 5 * Micros.SECOND) {
                request.state = State.DONE;
            }
        }
    }

    /** Rows to put or to delete with the next round. */
    List<Request> requestsToWrite(int most, long nowMicros) {
        List<Request> result = new ArrayList<>();
        for (Iterator<Request> each = requests.values().iterator(); each.hasNext() && result.size() < most; ) {
            Request request = each.next();
            if (request.state == State.CLAIMED
                    && !request.recorded
                    && nowMicros - request.sinceMicros > CLAIM_TIMEOUT_MICROS
                    && !request.writing) {
                request.state = State.DONE;
            }
            if (request.state == State.DONE && !request.recorded && !request.writing) {
                each.remove();
            } else if (!request.writing
                    && ((request.state == State.CLAIMED && !request.recorded) || request.state == State.DONE)) {
                result.add(request);
            }
        }
        return result;
    }

    /** Claims whose row is confirmed and whose call may go out. */
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

    /** Machines that are asked for and not known by name yet. */
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
