package io.micatide.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ElectionDelayTest {
    private static final long SECOND = Micros.SECOND;

    /**
     * Each row plays events and says for how many ms "me" leaves a free row to others: `up:seconds` since the start, `heirs:a+b`,
     * `copy` whole, `word:sibling:WARMTH[:reached]`, `led`, `handed`, `since:ms` that the row has been claimable, `later:seconds`.
     */
    @ParameterizedTest
    @CsvSource({
        "'up:20', true, 0", // One that no worker has come to asks; it waits for the answers for a moment, and longer
        // for one that they come
        // to.
        "'up:20', false, 200",
        "'up:20,since:250', false, 0",
        "'up:20,word:0:SEASONED,word:1:COLD', false, 0",
        "'up:20,word:0:SEASONED:reached', false, 600",
        "'up:20,word:0:SEASONED:reached,since:250', false, 600",
        "'up:20,word:0:SEASONED:reached,later:3,since:250', false, 0", // The heirs in their order, then the others, and
        // nobody for long.
        "'up:20,heirs:me+b,copy', true, 0",
        "'up:20,heirs:b+me,copy', true, 100",
        "'up:20,heirs:b+c', true, 200",
        "'up:20,heirs:b+c', false, 400",
        "'up:20,heirs:b+c,word:1:WARM:reached', false, 800", // An heir whose copy is not whole is like the others.
        "'up:20,heirs:me+b', true, 200", // Heirs that were told long ago may be gone.
        "'up:20,heirs:b+c,later:30', true, 0", // A cold process asks; it waits for the answer for a moment, and for a
        // warmer one for longer.
        "'up:1', true, 200",
        "'up:1,since:250', true, 0",
        "'up:1,word:0:COLD', true, 200",
        "'up:1,word:0:COLD,word:1:COLD', true, 0",
        "'up:1,word:0:COLD,word:1:SEASONED', true, 600",
        "'up:1,word:0:WARM,since:250', true, 600",
        "'up:1,word:0:WARM,later:3,since:250', true, 0", // Not cold any more, or never was.
        "'up:6,word:0:WARM', true, 0",
        "'up:1,led', true, 0", // A leader that ended in order has said who goes on.
        "'up:20,heirs:me+b,copy,handed', false, 0",
        "'up:20,heirs:me+b,copy,handed,later:3', false, 200",
    })
    void waits(String events, boolean reached, int millis) {
        long now = 100 * SECOND;
        ElectionDelay delay = new ElectionDelay("me", 2, now);
        long since = 0;
        for (String event : events.split(",")) {
            String[] part = event.split(":");
            switch (part[0]) {
                case "up", "later" -> now += Long.parseLong(part[1]) * SECOND;
                case "heirs" -> delay.standbysDesignated(List.of(part[1].split("\\+")), now);
                case "copy" -> delay.setReplicaComplete(true);
                case "word" ->
                    delay.peerReadinessReported(
                            Integer.parseInt(part[1]), StandbyReadiness.valueOf(part[2]), part.length > 3, now);
                case "led" -> delay.termEnded();
                case "handed" -> delay.handoverReceived(now);
                case "since" -> since = Long.parseLong(part[1]) * Micros.MILLISECOND;
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(millis * Micros.MILLISECOND, delay.delayMicros(since, reached, now));
    }

    /** A new leader that has heard nobody yet appoints nobody, and dismisses nobody either. */
    @Test
    void whoWasAppointedStaysSoOverATakeOver() {
        ElectionDelay delay = new ElectionDelay("me", 2, SECOND);
        delay.standbysDesignated(List.of("me"), 20 * SECOND);
        delay.standbysDesignated(null, 22 * SECOND);
        assertTrue(delay.isDesignated());
        delay.standbysDesignated(null, 50 * SECOND);
        assertFalse(delay.isDesignated());
    }

    private static Settings settings(double rate, String... siblings) {
        List<Settings.Sibling> list = new ArrayList<>();
        for (String each : siblings) {
            list.add(new Settings.Sibling(each.substring(2), each.substring(0, 1), "x"));
        }
        return new Settings(
                "n-2",
                "a",
                "b",
                "p",
                list,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                Map.of(),
                List.of(),
                SECOND,
                10 * SECOND,
                SECOND,
                SECOND,
                30 * SECOND,
                rate,
                30,
                16384,
                16384,
                16,
                8,
                SECOND,
                0.4,
                148,
                700);
    }

    /** Each row: who answered and how (`sibling=WARMTH`, `-` unserved), and whom the leader n-2 in zone a appoints. */
    @ParameterizedTest
    @CsvSource({
        "300, 'n-3=SEASONED,n-4=SEASONED,n-1=SEASONED', 'n-3 n-1'",
        "300, 'n-1=SEASONED,n-4=SEASONED', 'n-1 n-4'", // A warm one goes first.
        "300, 'n-3=SEASONED,n-1=WARM', 'n-1 n-3'", // Zone a is the leader's own; after the other zone those that come
        // next by their labels.
        "300, 'n-4=SEASONED,n-10=SEASONED', 'n-4 n-10'",
        "30, 'n-3=SEASONED,n-1=SEASONED', 'n-3'",
        "300, 'n-3=-,n-1=SEASONED', 'n-1'",
        "300, 'n-3=null', ''",
    })
    void appoints(double rate, String answers, String heirs) {
        Settings settings = settings(rate, "b n-1", "b n-3", "a n-4", "a n-10");
        StandbySelector appointed = new StandbySelector(settings);
        appointed.termStarted(0);
        assertNull(appointed.selectStandbys(SECOND));
        for (String answer : answers.split(",")) {
            String[] part = answer.split("=");
            int sibling = settings.siblings().stream()
                    .map(Settings.Sibling::label)
                    .toList()
                    .indexOf(part[0]);
            boolean served = !part[1].equals("-");
            appointed.peerAnswered(
                    sibling,
                    part[1].equals("null") || !served ? null : StandbyReadiness.valueOf(part[1]),
                    served,
                    SECOND);
        }
        assertEquals(heirs, String.join(" ", appointed.selectStandbys(2 * SECOND)));
    }

    /** Who is appointed stays so while it answers, whoever else comes back; who falls silent is replaced. */
    @Test
    void anHeirIsKept() {
        StandbySelector heirs = new StandbySelector(settings(300, "b n-1", "b n-3", "a n-4"));
        heirs.termStarted(0);
        heirs.peerAnswered(2, StandbyReadiness.SEASONED, true, 2 * SECOND);
        heirs.peerAnswered(0, StandbyReadiness.WARM, true, 2 * SECOND);
        assertEquals(List.of("n-1", "n-4"), heirs.selectStandbys(2 * SECOND));
        heirs.peerAnswered(0, StandbyReadiness.WARM, true, 6 * SECOND);
        heirs.peerAnswered(1, StandbyReadiness.SEASONED, true, 6 * SECOND);
        heirs.peerAnswered(2, StandbyReadiness.WARM, true, 4 * SECOND);
        assertEquals(List.of("n-1", "n-4"), heirs.selectStandbys(6 * SECOND));
        assertEquals(List.of("n-1", "n-3"), heirs.selectStandbys(8 * SECOND));
        assertEquals(0, heirs.firstWarmStandby(8 * SECOND));
        assertEquals(-1, heirs.firstWarmStandby(20 * SECOND));
    }

    private static KeyspaceReplica.Entry entry(String text) {
        String[] part = text.split("@");
        boolean gone = part[0].startsWith("-");
        return new KeyspaceReplica.Entry(
                "ledger/" + part[0].replace("-", ""),
                gone ? null : new StoredRecord.Ledger(List.of("i-1"), 0, ""),
                Long.parseLong(part[1]));
    }

    private static List<KeyspaceReplica.Entry> entries(String text) {
        return text.isEmpty()
                ? List.of()
                : List.of(text.split(" ")).stream()
                        .map(ElectionDelayTest::entry)
                        .toList();
    }

    /**
     * Each row: steps `page:revision:entries` (`page!` the last one) and `changes:upTo:entries`, `-a@7` a deletion; then what the copy
     * holds, or why it is worth nothing.
     */
    @ParameterizedTest
    @CsvSource({
        "'page!:10:a@3 b@9', 10, 'a@3 b@9'",
        "'page!:10:a@3,changes:14:a@12 -b@13 c@14', 14, 'a@12 c@14'", // Changes come in any order within an answer, and
        // a row may come and go between two.
        "'page!:10:a@3,changes:14:-b@13 b@12', 14, 'a@3'", // What a later page has shown comes again, older, with the
        // changes since the first.
        "'page:10:a@3,page!:20:b@18,changes:21:b@12 -b@15 b@18', 21, 'a@3 b@18'",
        "'page:10:a@3,page!:20:b@18,changes:21:-a@11', 21, 'b@18'", // A state service that went back: by its revision,
        // by a page, by a key.
        "'page!:10:a@3,changes:9:', REVISION_REGRESSED, ''",
        "'page:10:a@3,page!:8:b@2', REVISION_REGRESSED, ''",
        "'page!:10:a@3,changes:30:a@25,changes:40:a@20', REVISION_REGRESSED, ''",
        "'page!:10:a@3,changes:12:b@14', REVISION_REGRESSED, ''",
        "'page!:10:a@3,missed', CHANGES_COMPACTED, ''",
        "'page!:10:a@1 b@1 c@1 d@1 e@1 f@1 g@1 h@1', TOO_LARGE, ''", // The read is not over.
        "'page:10:a@3', -, ''",
    })
    void copies(String steps, String outcome, String held) {
        KeyspaceReplica copy = new KeyspaceReplica("ledger/", 1_200);
        for (String step : steps.split(",")) {
            String[] part = step.split(":", 3);
            switch (part[0]) {
                case "page", "page!" ->
                    copy.loadPage(entries(part[2]), copy.size() == 0, part[0].endsWith("!"), Long.parseLong(part[1]));
                case "changes" -> copy.applyChanges(entries(part[2]), Long.parseLong(part[1]));
                default -> copy.changesCompacted();
            }
        }
        if (!Character.isDigit(outcome.charAt(0))) {
            assertFalse(copy.isComplete());
            assertEquals(
                    outcome,
                    copy.invalidReason() == null ? "-" : copy.invalidReason().name());
            return;
        }
        long revision = Long.parseLong(outcome);
        assertTrue(copy.isCompleteAt(revision));
        assertFalse(copy.isCompleteAt(revision + 1), "it is not as new as that");
        List<String> names = new ArrayList<>();
        copy.entries().forEach(each -> names.add(each.key().substring("ledger/".length()) + "@" + each.version()));
        assertEquals(held, String.join(" ", names));
    }
}
