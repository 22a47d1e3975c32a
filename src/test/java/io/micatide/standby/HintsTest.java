package io.micatide.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import io.micatide.protocol.HintCodec;
import io.micatide.protocol.MalformedException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a standby whose hints differ from the leader's snapshot after batches were lost, delayed or repeated. */
class HintsTest {
    private static Hint hint(Random random) {
        String name = "n-" + random.nextInt(400);
        return switch (random.nextInt(3)) {
            case 0 ->
                new Hint.MachineHint(
                        name,
                        "a" + name,
                        3,
                        List.of("img-" + random.nextInt(9)),
                        List.of(random.nextInt(30) / 10.0),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextInt(5) == 0);
            case 1 -> new Hint.JobHint(name, random.nextInt(1_000_000), random.nextInt(64), random.nextBoolean(), 0);
            default -> new Hint.JobClassHint(name, random.nextInt(20) / 10.0, 0.5);
        };
    }

    /** Batches are lost, delayed and received twice, and leaders change. Once all batches arrive again, the standby holds the snapshot. */
    @Test
    void standbyConvergesToTheLeadersSnapshot() throws MalformedException {
        long maxBytes = 0;
        int differences = 0;
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ReceivedHints received = new ReceivedHints();
            List<HintBatch> delayedBatches = new ArrayList<>();
            for (long fencingToken = 5; fencingToken <= 7; fencingToken++) {
                HintSender sender = new HintSender(fencingToken, 1);
                List<Hint> currentHints = new ArrayList<>();
                for (int second = 0; second < 12; second++) {
                    for (int change = random.nextInt(150); change > 0; change--) {
                        Hint hint = hint(random);
                        currentHints.removeIf(current -> HintSender.key(current).equals(HintSender.key(hint)));
                        if (random.nextInt(4) > 0) {
                            currentHints.add(hint);
                        }
                    }
                    sender.updateSnapshot(currentHints);
                    for (HintBatch batch : sender.batchesFor(0)) {
                        differences += batch.base() > 0 ? 1 : 0;
                        byte[] body = HintCodec.batch(batch);
                        maxBytes = Math.max(maxBytes, body.length);
                        HintBatch decoded = HintCodec.batch(body);
                        assertEquals(batch, decoded);
                        int fault = second >= 10 ? 9 : random.nextInt(12);
                        if (fault == 0) {
                            sender.snapshotAcknowledged(0, -1);
                        } else if (fault == 1) {
                            delayedBatches.add(decoded);
                        } else {
                            sender.snapshotAcknowledged(0, received.receive(decoded));
                        }
                        if (!delayedBatches.isEmpty() && fault == 2) {
                            received.receive(delayedBatches.remove(0));
                        }
                    }
                }
                assertEquals(
                        new HashSet<>(currentHints),
                        new HashSet<>(received.all()),
                        "seed " + seed + " term " + fencingToken);
                assertTrue(sender.batchesFor(0).isEmpty(), "nothing is sent again after the acknowledgement");
            }
        }
        assertTrue(differences > 1_000, "more than 1000 batches must be differences");
        assertTrue(maxBytes < 64 * 1024, "a batch must fit into a request");
    }
}
