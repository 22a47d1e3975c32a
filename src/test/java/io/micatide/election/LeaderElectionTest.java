package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderElectionTest {
    private static final long LEASE_MICROS = 3 * Micros.SECOND;

    /**
     * Each row plays events and says who leads then: `record:owner:version` the record as watched, `read:` read, `lease`, `won:token`,
     * `lost`, `gone` (lease), `high:token:owner`, `unknown` (claim without an answer).
     */
    @ParameterizedTest
    @CsvSource({
        "'read::0,lease,won:5', 5, me, NOTHING",
        "'read:other:4,lease', 0, other, NOTHING",
        // A free record is claimed at once.
        "'read:other:4,lease,record::0', 0, other, CLAIM",
        // The record of our own earlier process is replaced: that process is gone.
        "'read:me:4,lease', 0, me, CLAIM",
        "'read::0,lease,lost', 0, , READ_RECORD",
        "'read::0,lease,unknown', 0, , READ_RECORD",
        // A lease that ended takes the record with it.
        "'read::0,lease,won:5,gone', 0, , READ_RECORD",
        // Fenced by the record, by a peer and by a worker.
        "'read::0,lease,won:5,record:other:9', 0, other, NOTHING",
        "'read::0,lease,won:5,high:9:other', 0, other, READ_RECORD",
        "'read::0,lease,won:5,high:9:', 0, , READ_RECORD",
        // After it has resigned it leaves the free record to others for a while, its own earlier one too.
        "'read::0,lease,won:5,resign,read:me:5,lease', 0, me, NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease', 0, , NOTHING",
        "'read::0,lease,won:5,resign,read::0,lease,later', 0, , CLAIM",
        // What is older changes nothing.
        "'read::0,lease,won:5,high:4:other', 5, me, NOTHING",
        "'read::0,lease,won:5,high:5:', 5, me, NOTHING",
    })
    void electionStateFollowsFromEvents(String events, long fencingToken, String leader, LeaderElection.Action next) {
        LeaderElection election = new LeaderElection("me", LEASE_MICROS);
        long now = Micros.SECOND;
        for (String event : events.split(",")) {
            String[] part = event.split(":", -1);
            String owner = part.length > 1 && !part[1].isEmpty() ? part[1] : null;
            switch (part[0]) {
                case "read" -> election.recordRead(owner, Long.parseLong(part[2]));
                case "record" -> election.recordObserved(owner, Long.parseLong(part[2]));
                case "lease" -> election.leaseGranted(7, now);
                case "won" -> election.leadershipAcquired(Long.parseLong(part[1]));
                case "lost" -> election.claimRejected();
                case "resign" -> assertEquals(7, election.resign(now, 10 * Micros.SECOND));
                case "later" -> {
                    now += 11 * Micros.SECOND;
                    election.leaseRenewed(now);
                }
                case "gone" -> election.leaseExpired();
                case "unknown" -> election.claimOutcomeUnknown(now - Micros.SECOND);
                case "high" -> election.observeToken(Long.parseLong(part[1]), part[2].isEmpty() ? null : part[2]);
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(fencingToken, election.fencingToken());
        assertEquals(leader, election.leader());
        assertEquals(next, election.nextAction(now, 0));
    }

    /** A record that became free is left to others for the delay, counted from then, not from when it was asked about. */
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
