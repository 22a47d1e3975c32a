package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a controller that leads after it was fenced, and against claims of a record that is not claimable. */
class LeaderElectionTest {
    private static final long LEASE_MICROS = 3 * Micros.SECOND;

    /**
     * Events, then the expected fencing token, leader and next action. {@code record:owner:version} is the record reported by a watch,
     * {@code read:owner:version} the record as read, {@code lease} a granted lease, {@code won:token} and {@code lost} the outcome of a
     * claim, {@code unknown} a claim without an answer, {@code gone} the expiry of the lease, {@code high:token:owner} an observed token,
     * {@code resign} a resignation, {@code later} the end of the pause after it.
     */
    @ParameterizedTest
    @CsvSource({
        "'read::0,lease,won:5', 5, me, NOTHING",
        "'read:other:4,lease', 0, other, NOTHING",
        // A claimable record is claimed immediately.
        "'read:other:4,lease,record::0', 0, other, CLAIM",
        // The record of an earlier process of this controller is replaced, since that process no longer runs.
        "'read:me:4,lease', 0, me, CLAIM",
        "'read::0,lease,lost', 0, , READ_RECORD",
        "'read::0,lease,unknown', 0, , READ_RECORD",
        // The expiry of the lease deletes the record.
        "'read::0,lease,won:5,gone', 0, , READ_RECORD",
        // Fenced by the record, by a peer and by a worker.
        "'read::0,lease,won:5,record:other:9', 0, other, NOTHING",
        "'read::0,lease,won:5,high:9:other', 0, other, READ_RECORD",
        "'read::0,lease,won:5,high:9:', 0, , READ_RECORD",
        // After a resignation it claims nothing during the pause, including the record of its own earlier process.
        "'read::0,lease,won:5,resign,read:me:5,lease', 0, me, NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease', 0, , NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease,later', 0, , CLAIM",
        // Older tokens change nothing.
        "'read::0,lease,won:5,high:4:other', 5, me, NOTHING",
        "'read::0,lease,won:5,high:5:', 5, me, NOTHING",
    })
    void electionStateFollowsFromEvents(String events, long fencingToken, String leader, LeaderElection.Action next) {
        LeaderElection election = new LeaderElection("me", LEASE_MICROS);
        long now = Micros.SECOND;
        for (String event : events.split(",")) {
            String[] parts = event.split(":", -1);
            String owner = parts.length > 1 && !parts[1].isEmpty() ? parts[1] : null;
            switch (parts[0]) {
                case "read" -> election.recordRead(owner, Long.parseLong(parts[2]));
                case "record" -> election.recordObserved(owner, Long.parseLong(parts[2]));
                case "lease" -> election.leaseGranted(7, now);
                case "won" -> election.leadershipAcquired(Long.parseLong(parts[1]));
                case "lost" -> election.claimRejected();
                case "resign" -> assertEquals(7, election.resign(now, 10 * Micros.SECOND));
                case "later" -> {
                    now += 11 * Micros.SECOND;
                    election.leaseRenewed(now);
                }
                case "gone" -> election.leaseExpired();
                case "unknown" -> election.claimOutcomeUnknown(now - Micros.SECOND);
                case "high" -> election.observeToken(Long.parseLong(parts[1]), parts[2].isEmpty() ? null : parts[2]);
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(fencingToken, election.fencingToken());
        assertEquals(leader, election.leader());
        assertEquals(next, election.nextAction(now, 0));
    }

    /** The delay counts from the time at which the record became claimable, not from the time of the query. */
    @ParameterizedTest
    @CsvSource({"0, 0, CLAIM", "600, 0, NOTHING", "600, 500, NOTHING", "600, 700, CLAIM"})
    void claimableRecordIsClaimedOnlyAfterTheDelay(int delayMillis, int afterMillis, LeaderElection.Action next) {
        LeaderElection election = new LeaderElection("me", LEASE_MICROS);
        long now = Micros.SECOND;
        long delayMicros = delayMillis * Micros.MILLISECOND;
        election.recordRead("other", 4);
        election.leaseGranted(7, now);
        assertEquals(-1, election.claimableForMicros(now));
        assertEquals(LeaderElection.Action.NOTHING, election.nextAction(now, delayMicros));
        election.recordObserved(null, 0);
        assertEquals(0, election.claimableForMicros(now));
        assertEquals(next, election.nextAction(now + afterMillis * Micros.MILLISECOND, delayMicros));
    }
}
