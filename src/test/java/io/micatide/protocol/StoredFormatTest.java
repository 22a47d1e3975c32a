package io.micatide.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobKind;
import io.micatide.model.JobProgress;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Stored values and messages of the version in production, as text. During an upgrade controllers of both versions run side by side, so this
 * version must decode each text as production does, and must write values that production can read.
 */
class StoredFormatTest {
    private static final String SPEC =
            "{'nameId':'wk-1','roster':'train','crew':'red','form':'batch','rank':'best_effort',"
                    + "'legs':16,'cpus':2.0,'cards':0.0,'memGb':4.5,'kit':'img','sizeGb':1.5,'builds':['g8'],'ground':'a',"
                    + "'samePlace':false,'scatter':true,'loaners':true,'runtimeS':20.0,'halftimeS':0.0,'stowS':0.0,'whistleS':90.0}";
    private static final String SERVICE_SPEC =
            "{'nameId':'wk-2','roster':'feed','crew':'red','form':'daemon','rank':'high',"
                    + "'legs':2,'cpus':2.0,'cards':0.0,'memGb':8.1,'kit':'img','sizeGb':1.0,'samePlace':false,'scatter':false,"
                    + "'loaners':false,'runtimeS':0.0,'halftimeS':0.0,'stowS':0.0}";

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    /** Values as production writes them: decoding and encoding must give the same text. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "leader|{'owner':'berth-0'}",
                "job/wk-1|{'state':'OPEN','tasks':16,'submitted':1790000000000000,'spec':" + SPEC + "}",
                "job/wk-2|{'state':'OPEN','tasks':2,'submitted':1790000000000000,'spec':" + SERVICE_SPEC + "}",
                "job/wk-1|{'state':'CANCELLED','tasks':16,'submitted':5,'spec':" + SPEC + "}",
                "job/wk-1|{'state':'DONE','tasks':16,'submitted':5}",
                "ledger/wk-1|{'machines':['i-000231','i-000007'],'gang':0,'done':'0-5,7,9-12'}",
                "ledger/wk-1|{'machines':[],'gang':3145728007,'done':''}",
                "ledger/wk-1/3|{'machines':[],'gang':0,'done':'2047'}",
                "booking/r-41-7|{'state':'claimed','type':'g8','zone':'a','spot':true,'count':12}",
                "types|{'types':[{'label':'g8','cpus':8.0,'cards':0.0,'memGb':64.0,'localGb':25.0,'pullGbPerS':0.3,"
                        + "'hourly':0.54,'marketPrice':0.19,'bootS':30.0,'grounds':['a','b']}]}",
            })
    void storedRecordsAreReadAndWrittenUnchanged(String key, String data) throws MalformedException {
        StoreCodec.Item item = StoreCodec.item(json("{'k':'" + key + "','data':" + data + ",'stamp':9}"));
        byte[] again = StoreCodec.transaction(new Transaction(
                List.of(new Transaction.Condition(key, 9)), List.of(new Transaction.Write(key, item.record(), 0))));
        assertEquals(
                "{'if':[{'k':'" + key + "','stamp':9}],'writes':[{'put':'" + key + "','data':" + data + "}]}",
                new String(again, StandardCharsets.UTF_8).replace('"', '\''));
    }

    @Test
    void storedJobRecordIsDecodedAsBefore() throws MalformedException {
        StoreCodec.Item item = StoreCodec.item(json("{'k':'job/wk-1','data':{'state':'OPEN','tasks':16,'submitted':7,"
                + "'spec':" + SPEC + "},'stamp':9}"));
        JobSpec spec = ((StoredRecord.JobRecord) item.record()).spec();
        assertEquals(
                new JobSpec(
                        "wk-1",
                        "train",
                        "red",
                        JobKind.ARRAY,
                        Priority.LOW,
                        16,
                        Resources.of(2, 0, 4.5),
                        "img",
                        1.5,
                        List.of("g8"),
                        "a",
                        false,
                        true,
                        true,
                        20_000_000,
                        0,
                        0,
                        90_000_000),
                spec);
        assertEquals(JobState.OPEN, ((StoredRecord.JobRecord) item.record()).state());
    }

    /** A dependency list of any length is stored completely, split into records that each fit the limit. */
    @ParameterizedTest
    @CsvSource({
        "0, 2048, 1",
        "10, 2048, 1",
        "100, 2048, 1",
        "200, 2048, 2",
        "500, 2048, 4",
        "5000, 2048, 31",
        "5000, 16384, 4"
    })
    void longDependencyListsAreSplitWithinTheLimit(int dependencyCount, int limit, int recordCount)
            throws MalformedException {
        List<String> dependencies = new ArrayList<>();
        for (int i = 0; i < dependencyCount; i++) {
            dependencies.add(String.format("wk-%06d", i));
        }
        StoredRecord.JobRecord job = new StoredRecord.JobRecord(
                JobState.OPEN,
                new JobSpec(
                        "wk-x",
                        "train",
                        "red",
                        JobKind.ARRAY,
                        Priority.LOW,
                        16,
                        Resources.of(2, 0, 4.5),
                        "img",
                        1.5,
                        List.of(),
                        null,
                        false,
                        false,
                        true,
                        1,
                        0,
                        0,
                        -1,
                        dependencies),
                7,
                16);
        List<Transaction.Write> writes =
                JobRecordSplitter.split("wk-x", job, limit).orElseThrow();
        assertEquals(recordCount, writes.size());
        JobCache jobCache = new JobCache();
        for (Transaction.Write write : writes) {
            assertTrue(StoreCodec.encodedBytes(write.record()) <= limit, write.key());
            if (write.record() instanceof StoredRecord.FurtherDependencies further) {
                jobCache.applyDependencies(
                        "wk-x", Integer.parseInt(write.key().substring("job/wk-x/needs/".length())), further.names());
            } else {
                jobCache.apply("wk-x", (StoredRecord.JobRecord) write.record(), 5);
            }
        }
        assertEquals(job, jobCache.get("wk-x").record());
        assertEquals(
                Optional.empty(),
                JobRecordSplitter.split("wk-x", job, 200),
                "a job that exceeds the limit without its dependencies must be refused");
    }

    @Test
    void statusOfTheProductionVersion() throws MalformedException {
        String text = "{'token':41,'leader':'berth-1','stateServed':true,'silentUs':1200,'first':true,"
                + "'jobs':[['wk-1',3,13]]}";
        PeerCodec.LeaderStatus status = PeerCodec.leaderStatus(json(text));
        assertEquals(
                new PeerCodec.LeaderStatus(
                        41, "berth-1", true, 1200, null, true, List.of(new JobProgress("wk-1", 3, 13))),
                status);
        assertEquals(text, new String(PeerCodec.leaderStatus(status), StandardCharsets.UTF_8).replace('"', '\''));
        // Production does not report which layout it reads.
        assertEquals(
                new PeerCodec.PeerStatus(41, -1, 1, false, null),
                PeerCodec.peerStatus(json("{'token':41,'strayedUs':-1}")));
        assertEquals(
                "{'token':41,'strayedUs':-1,'layout':2}",
                new String(
                                PeerCodec.peerStatus(new PeerCodec.PeerStatus(41, -1, 2, false, null)),
                                StandardCharsets.UTF_8)
                        .replace('"', '\''));
    }

    /** The fields for standbys are optional, and an unknown readiness of a later version is read as none. */
    @Test
    void statusWithDesignatedStandbys() throws MalformedException {
        String text =
                "{'token':41,'leader':'berth-1','stateServed':true,'silentUs':1200,'heirs':['berth-2'],'first':true,'jobs':[]}";
        PeerCodec.LeaderStatus status = PeerCodec.leaderStatus(json(text));
        assertEquals(List.of("berth-2"), status.designatedStandbys());
        assertEquals(text, new String(PeerCodec.leaderStatus(status), StandardCharsets.UTF_8).replace('"', '\''));
        PeerCodec.PeerStatus answer = new PeerCodec.PeerStatus(41, -1, 3, true, StandbyReadiness.WARM);
        assertEquals(answer, PeerCodec.peerStatus(PeerCodec.peerStatus(answer)));
        assertNull(PeerCodec.peerStatus(json("{'token':41,'strayedUs':-1,'standby':'HOT'}"))
                .readiness());
        assertEquals(77, PeerCodec.handoverRevision(PeerCodec.handover(41, 77)));
    }

    /** The fields for cancellations are optional; a malformed digest is rejected, so that it proves nothing about cancellations. */
    @Test
    void cancellationMessages() throws MalformedException {
        String status =
                "{'token':41,'leader':'berth-1','stateServed':true,'silentUs':1200,'first':true,'jobs':[],'revision':7}";
        assertEquals(7, PeerCodec.leaderStatus(json(status)).revision());
        assertEquals(
                status,
                new String(PeerCodec.leaderStatus(PeerCodec.leaderStatus(json(status))), StandardCharsets.UTF_8)
                        .replace('"', '\''));
        CancellationDigest digest = new CancellationDigest(
                "berth-2", 5_000_000, true, List.of(new CancellationDigest.Cancelled("wk-1", 44)));
        PeerCodec.PeerStatus answer = new PeerCodec.PeerStatus(41, -1, 3, true, null).withCancellations(digest);
        String encoded = new String(PeerCodec.peerStatus(answer), StandardCharsets.UTF_8).replace('"', '\'');
        assertEquals(
                "{'token':41,'strayedUs':-1,'layout':3,'served':true,"
                        + "'testimony':{'by':'berth-2','livedUs':5000000,'whole':true,'cancelled':[['wk-1',44]]}}",
                encoded);
        assertEquals(answer, PeerCodec.peerStatus(json(encoded)));
        for (String part :
                List.of("'by':'berth-2',", "'livedUs':5000000,", "'whole':true,", ",'cancelled':[['wk-1',44]]")) {
            assertThrows(MalformedException.class, () -> PeerCodec.peerStatus(json(encoded.replace(part, ""))), part);
        }
        for (String replacement :
                List.of("7", "['wk-1']", "['wk-1',0]", "['job 1',44]", "[44,'wk-1']", "['wk-1','44']")) {
            assertThrows(
                    MalformedException.class,
                    () -> PeerCodec.peerStatus(json(encoded.replace("['wk-1',44]", replacement))),
                    replacement);
            assertThrows(
                    MalformedException.class,
                    () -> PeerCodec.cancellationNotice(json("{'cancelled':[" + replacement + "]}")),
                    replacement);
        }
        PeerCodec.CancellationNotice notice = new PeerCodec.CancellationNotice(digest.cancelled());
        assertEquals(notice, PeerCodec.cancellationNotice(PeerCodec.cancellationNotice(notice)));
        assertThrows(MalformedException.class, () -> PeerCodec.cancellationNotice(json("{}")));
    }

    /**
     * Values that only this version writes. Production ignores unknown fields. It cannot read the layout record, since it requires
     * {@code state} of every record under the prefix of the jobs.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "job/wk-1|{'state':'DONE','tasks':16,'submitted':5,'ended':9}",
                "job/wk-1|{'state':'CANCELLED','tasks':16,'submitted':5}",
                "job/layout|{'layout':2,'pageTasks':2048}",
                "job/wk-3/needs/1|{'awaits':['wk-1','wk-2']}",
                "ledger/wk-1|{'fleet':['i-/6/231+29,2'],'gang':0,'done':'0-5'}",
                "ledger/wk-1|{'fleet':[],'gang':0,'done':''}",
            })
    void recordsAddedByThisVersion(String key, String data) throws MalformedException {
        storedRecordsAreReadAndWrittenUnchanged(key, data);
    }

    /** A page's number determines its tasks, so the page size must not follow the announced next limits. */
    @ParameterizedTest
    @CsvSource({"16, 2048", "32, 4096", "2, 256", "64, 8192"})
    void pagesHoldAsManyTasksAsInProduction(String valueKb, int tasks) throws IOException, MalformedException {
        Settings settings =
                SettingsReader.parse(SettingsTest.validSettings().replace("value_kb = 16.0", "value_kb = " + valueKb));
        assertEquals(tasks, settings.pageTasks());
    }
}
