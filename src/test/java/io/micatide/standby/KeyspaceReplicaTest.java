package io.micatide.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a replica that claims to be complete although it differs from the records stored at its revision. */
class KeyspaceReplicaTest {
    private static KeyspaceReplica.Entry entry(String text) {
        String[] part = text.split("@");
        boolean isDeletion = part[0].startsWith("-");
        return new KeyspaceReplica.Entry(
                "ledger/" + part[0].replace("-", ""),
                isDeletion ? null : new StoredRecord.Ledger(List.of("i-1"), 0, ""),
                Long.parseLong(part[1]));
    }

    private static List<KeyspaceReplica.Entry> entries(String text) {
        return text.isEmpty()
                ? List.of()
                : List.of(text.split(" ")).stream()
                        .map(KeyspaceReplicaTest::entry)
                        .toList();
    }

    /**
     * Steps, then the expected revision and entries of the replica, or why it is invalid ({@code -} if it is valid but not complete).
     * {@code page:revision:entries} is a page, {@code page!} the last page, {@code changes:revision:entries} all changes up to a revision,
     * {@code missed} a compaction of changes by the store; the entry {@code a@7} is a record of version 7, {@code -a@7} a deletion.
     */
    @ParameterizedTest
    @CsvSource({
        "'page!:10:a@3 b@9', 10, 'a@3 b@9'",
        "'page!:10:a@3,changes:14:a@12 -b@13 c@14', 14, 'a@12 c@14'",
        // Changes are in any order within an answer, and a record may be created and deleted between two answers.
        "'page!:10:a@3,changes:14:-b@13 b@12', 14, 'a@3'",
        // Changes since the first page may be older than the entries of a later page.
        "'page:10:a@3,page!:20:b@18,changes:21:b@12 -b@15 b@18', 21, 'a@3 b@18'",
        "'page:10:a@3,page!:20:b@18,changes:21:-a@11', 21, 'b@18'",
        // The store regressed: the revision of the changes, of a page, or of a key.
        "'page!:10:a@3,changes:9:', REVISION_REGRESSED, ''",
        "'page:10:a@3,page!:8:b@2', REVISION_REGRESSED, ''",
        "'page!:10:a@3,changes:30:a@25,changes:40:a@20', REVISION_REGRESSED, ''",
        "'page!:10:a@3,changes:12:b@14', REVISION_REGRESSED, ''",
        "'page!:10:a@3,missed', CHANGES_COMPACTED, ''",
        "'page!:10:a@1 b@1 c@1 d@1 e@1 f@1 g@1 h@1', TOO_LARGE, ''",
        // The read has not finished.
        "'page:10:a@3', -, ''",
    })
    void replicaIsCompleteOrInvalid(String steps, String outcome, String expectedEntries) {
        KeyspaceReplica replica = new KeyspaceReplica("ledger/", 1_200);
        for (String step : steps.split(",")) {
            String[] part = step.split(":", 3);
            switch (part[0]) {
                case "page", "page!" ->
                    replica.loadPage(
                            entries(part[2]), replica.size() == 0, part[0].endsWith("!"), Long.parseLong(part[1]));
                case "changes" -> replica.applyChanges(entries(part[2]), Long.parseLong(part[1]));
                default -> replica.changesCompacted();
            }
        }
        if (!Character.isDigit(outcome.charAt(0))) {
            assertFalse(replica.isComplete());
            assertEquals(
                    outcome,
                    replica.invalidReason() == null
                            ? "-"
                            : replica.invalidReason().name());
            return;
        }
        long revision = Long.parseLong(outcome);
        assertTrue(replica.isCompleteAt(revision));
        assertFalse(replica.isCompleteAt(revision + 1), "the replica must not be complete at a later revision");
        List<String> names = new ArrayList<>();
        replica.entries()
                .forEach(entry -> names.add(entry.key().substring("ledger/".length()) + "@" + entry.version()));
        assertEquals(expectedEntries, String.join(" ", names));
    }
}
