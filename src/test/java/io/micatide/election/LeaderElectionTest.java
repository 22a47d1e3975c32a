package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderElectionTest {
    private static final long TTL = 3 * Micros.SECOND;

    /**
     * Each row plays events and says who leads then: `row:owner:version` watched, `read:` read, `lease`, `won:token`,
     * `lost`, `gone` (lease), `high:token:owner`, `unknown` (claim without an answer).
     */
    @ParameterizedTest
    @CsvSource({
        "'read::0,lease,won:5', 5, me, NOTHING",
        "'read:other:4,lease', 0, other, NOTHING",
        // A free row is claimed at once.
        "'read:other:4,lease,row::0', 0, other, CLAIM",
        // The row of our own earlier process is replaced: that process is gone.
        "'read:me:4,lease', 0, me, CLAIM",
        "'read::0,lease,lost', 0, , READ_RECORD",
        "'read::0,lease,unknown', 0, , READ_RECORD",
        // A lease that ended takes the row with it.
        "'read::0,lease,won:5,gone', 0, , READ_RECORD",
        // Fenced by the row, by a sibling and by a worker.
        "'read::0,lease,won:5,row:other:9', 0, other, NOTHING",
        "'read::0,lease,won:5,high:9:other', 0, other, READ_RECORD",
        "'read::0,lease,won:5,high:9:', 0, , READ_RECORD",
        // Having given up it leaves the free row to others for a while, its own earlier row too.
        "'read::0,lease,won:5,resign,read:me:5,lease', 0, me, NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease', 0, , NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease,later', 0, , CLAIM",
        // What is older changes nothing.
        "'read::0,lease,won:5,high:4:other', 5, me, NOTHING",
        "'read::0,lease,won:5,high:5:', 5, me, NOTHING",
    })
    void leads(String events, long fencingToken, String leader, LeaderElection.Action next) {
        LeaderElection leadership = new LeaderElection("me", TTL);
        long now = Micros.SECOND;
        for (String event : events.split(",")) {
            String[] part = event.split(":", -1);
            String owner = part.length > 1 && !part[1].isEmpty() ? part[1] : null;
            switch (part[0]) {
                case "read" -> leadership.recordRead(owner, Long.parseLong(part[2]));
                case "row" -> leadership.recordObserved(owner, Long.parseLong(part[2]));
                case "lease" -> leadership.leaseGranted(7, now);
                case "won" -> leadership.leadershipAcquired(Long.parseLong(part[1]));
                case "lost" -> leadership.claimRejected();
                case "resign" -> assertEquals(7, leadership.resign(now, 10 * Micros.SECOND));
                case "later" -> {
                    now += 11 * Micros.SECOND;
                    leadership.leaseRenewed(now);
                }
                case "gone" -> leadership.leaseExpired();
                case "unknown" -> leadership.claimOutcomeUnknown(now - Micros.SECOND);
                case "high" -> leadership.observeToken(Long.parseLong(part[1]), part[2].isEmpty() ? null : part[2]);
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(fencingToken, leadership.fencingToken());
        assertEquals(leader, leadership.leader());
        assertEquals(next, leadership.nextAction(now, 0));
    }

    /** A row that became free is left to others for as long as is said; it is no matter when it was asked about. */
    @ParameterizedTest
    @CsvSource({"0, 0, CLAIM", "600, 0, NOTHING", "600, 500, NOTHING", "600, 700, CLAIM"})
    void leavesAFreeRowToOthers(int waitsMillis, int afterMillis, LeaderElection.Action next) {
        LeaderElection leadership = new LeaderElection("me", TTL);
        long now = Micros.SECOND;
        long waits = waitsMillis * Micros.MILLISECOND;
        leadership.recordRead("other", 4);
        leadership.leaseGranted(7, now);
        assertEquals(-1, leadership.claimableForMicros(now));
        assertEquals(LeaderElection.Action.NOTHING, leadership.nextAction(now, waits));
        leadership.recordObserved(null, 0);
        assertEquals(0, leadership.claimableForMicros(now));
        assertEquals(next, leadership.nextAction(now + afterMillis * Micros.MILLISECOND, waits));
    }
}
