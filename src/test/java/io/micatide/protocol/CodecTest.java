package io.micatide.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micatide.jobs.JobAdmission;
import io.micatide.model.Command;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Team;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Encoding and decoding of jobs, heartbeats and answers to workers, and the admission of jobs. */
class CodecTest {
    private static final String JOB = "{'nameId':'wk-1','roster':'train','crew':'red','form':'batch','rank':'high',"
            + "'legs':16,'cpus':2.0,'cards':0.0,'memGb':4.0,'kit':'img','sizeGb':1.5,'builds':['g8'],'ground':null,"
            + "'samePlace':false,'scatter':false,'loaners':true,'runtimeS':20.0,'halftimeS':0.0,'stowS':0.0,"
            + "'whistleS':90.0}";

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    /** Each row replaces a part of a valid job; the exception names the field. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'nameId':'wk-1'|'nameId':7|nameId",
                "'nameId':'wk-1'|'nameId':'job 1'|nameId",
                "'roster':'train',||roster",
                "'form':'batch'|'form':'pile'|form",
                "'rank':'high'|'rank':''|rank",
                "'legs':16|'legs':0|legs",
                "'legs':16|'legs':100001|legs",
                "'legs':16|'legs':1.5|legs",
                "'cpus':2.0|'cpus':-1|cpus",
                "'cpus':2.0|'cpus':'2'|cpus",
                "'memGb':4.0,||memGb",
                "['g8']|7|builds",
                "['g8']|[8]|builds",
                "'ground':null|'ground':3|ground",
                "'samePlace':false|'samePlace':0|samePlace",
                "'whistleS':90.0|'whistleS':-2|whistleS",
                "'runtimeS':20.0|'runtimeS':null|runtimeS",
                "'whistleS':90.0|'awaits':'wk-2'|awaits",
                "'whistleS':90.0|'awaits':[7]|awaits",
                "'whistleS':90.0|'awaits':['wk-2','job 2']|awaits",
                "'whistleS':90.0|'awaits':{'wk-2':1}|awaits",
            })
    void namesTheFieldOfAMalformedJob(String part, String replacement, String field) {
        String text = JOB.replace(part, replacement == null ? "" : replacement);
        MalformedException e = assertThrows(MalformedException.class, () -> JobCodec.spec(Json.tree(json(text))));
        assertEquals(field, e.field());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'whistleS':90.0|",
                "'awaits':null|",
                "'awaits':[]|",
                "'awaits':['wk-2']|wk-2",
                "'awaits':['wk-3','wk-2','wk-3']|wk-3 wk-2",
            })
    void repeatedDependenciesCountOnce(String part, String dependencies) throws MalformedException {
        JobSpec spec = JobCodec.spec(Json.tree(json(JOB.replace("'whistleS':90.0", part))));
        assertEquals(dependencies == null ? "" : dependencies, String.join(" ", spec.dependencies()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"[]", "7", "{", "x", "''"})
    void nonObjectIsMalformed(String text) {
        assertThrows(MalformedException.class, () -> JobCodec.id(Json.tree(json(text))));
    }

    /** Each row replaces a part of a valid job; the reason of the refusal begins as given, or the job is admitted. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'crew':'red'|'crew':'red'|",
                "'ground':null|'ground':'a'|",
                "'crew':'red'|'crew':'green'|unknown team",
                "'ground':null|'ground':'z'|unknown zone",
                "['g8']|['g9']|a task fits no",
                "'cpus':2.0|'cpus':9|a task fits no",
                "'cards':0.0|'cards':1|a task fits no",
                "'form':'batch'|'form':'daemon'|needs more than the limit",
                "'form':'batch'|'form':'group'|needs more than the limit",
            })
    void admitsOnlyJobsThatCanRun(String part, String replacement, String reason) throws MalformedException {
        JobSpec spec = JobCodec.spec(Json.tree(json(JOB.replace(part, replacement))));
        MachineType type = new MachineType("g8", Resources.of(8, 0, 64), 25, 0.3, 1, 0.3, 1, List.of("a", "b"));
        String refusal = JobAdmission.refusalReason(
                spec, Map.of("red", new Team("red", 0, 0, 20_000, 0)), List.of("a", "b"), List.of(type));
        assertEquals(
                reason,
                refusal == null || reason == null
                        ? refusal
                        : refusal.substring(0, Math.min(refusal.length(), reason.length())));
    }

    /** The specification read back from the store equals the submitted one. */
    @Test
    void storedJobIsReadBackUnchanged() throws MalformedException {
        JobSpec spec = JobCodec.spec(Json.tree(json(JOB))).withDependencies(List.of("wk-7", "wk-8"));
        StoredRecord.JobRecord job = new StoredRecord.JobRecord(JobState.OPEN, spec, 5, 16);
        byte[] sent = StoreCodec.transaction(new Transaction(
                List.of(new Transaction.Condition("job/wk-1", 0)), List.of(new Transaction.Write("job/wk-1", job, 0))));
        String data = Json.MAPPER
                .convertValue(
                        Json.tree(sent).path("writes").get(0).path("data"),
                        com.fasterxml.jackson.databind.JsonNode.class)
                .toString();
        StoreCodec.Item item = StoreCodec.item(json("{'k':'job/wk-1','data':" + data + ",'stamp':9}"));
        assertEquals(job, item.record());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{}",
                "[]",
                "{'berth':'i-1'}",
                "{'berth':'i-1','build':'g8','ground':'a','stint':1,'tally':1,'armband':0,'legs':[{'leg':'wk-1'}]}",
                "{'berth':'i-1','build':'g8','ground':'a','stint':1,'tally':1,'armband':0,'legs':7}",
                "{'berth':'i-1','build':'g8','ground':'a','stint':1,'tally':1,'armband':0,"
                        + "'legs':[{'leg':'wk-1/x','throwIn':1,'standing':'running'}]}",
            })
    void invalidHeartbeatIsMalformed(String text) {
        assertThrows(MalformedException.class, () -> WorkerCodec.heartbeat(json(text)));
    }

    @Test
    void answerHasTheTokenAndTheCommandsInOrder() {
        byte[] answer = WorkerCodec.answer(
                41,
                List.of(
                        new Command.Stop("wk-1", 0, 3, 10 * Micros.SECOND),
                        new Command.Reap("wk-2", 1, 4),
                        new Command.Start("wk-3", 2, 5)));
        assertEquals(
                "{'armband':41,'calls':[{'call':'halt','leg':'wk-1/0','throwIn':3,'stoppageS':10.0},"
                        + "{'call':'reap','leg':'wk-2/1','throwIn':4},{'call':'start','leg':'wk-3/2','throwIn':5}]}",
                new String(answer, StandardCharsets.UTF_8).replace('"', '\''));
    }
}
