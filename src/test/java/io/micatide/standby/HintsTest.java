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

    /** Parts get lost, come late and twice, leaders change: once all goes through again an heir holds the leader's picture. */
    @Test
    void standbyConvergesToTheLeadersSnapshot() throws MalformedException {
        long bytes = 0;
        int differences = 0;
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            ReceivedHints held = new ReceivedHints();
            List<HintBatch> late = new ArrayList<>();
            for (long fencingToken = 5; fencingToken <= 7; fencingToken++) {
                HintSender sender = new HintSender(fencingToken, 1);
                List<Hint> picture = new ArrayList<>();
                for (int second = 0; second < 12; second++) {
                    for (int change = random.nextInt(150); change > 0; change--) {
                        Hint hint = hint(random);
                        picture.removeIf(each -> HintSender.key(each).equals(HintSender.key(hint)));
                        if (random.nextInt(4) > 0) {
                            picture.add(hint);
                        }
                    }
                    sender.updateSnapshot(picture);
                    for (HintBatch part : sender.batchesFor(0)) {
                        differences += part.base() > 0 ? 1 : 0;
                        byte[] body = HintCodec.batch(part);
                        bytes = Math.max(bytes, body.length);
                        HintBatch read = HintCodec.batch(body);
                        assertEquals(part, read);
                        int fate = second >= 10 ? 9 : random.nextInt(12);
                        if (fate == 0) {
                            sender.snapshotAcknowledged(0, -1);
                        } else if (fate == 1) {
                            late.add(read);
                        } else {
                            sender.snapshotAcknowledged(0, held.receive(read));
                        }
                        if (!late.isEmpty() && fate == 2) {
                            held.receive(late.remove(0));
                        }
                    }
                }
                assertEquals(
                        new HashSet<>(picture), new HashSet<>(held.all()), "seed " + seed + " term " + fencingToken);
                assertTrue(sender.batchesFor(0).isEmpty(), "nothing is told twice");
            }
        }
        assertTrue(differences > 1_000, "differences are what usually goes out");
        assertTrue(bytes < 64 * 1024, "a part fits a request");
    }
}
