package io.micatide.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.RawStoreCodec;
import io.micatide.simulation.SimulatedStore;
import io.micatide.snapshot.SnapshotException;
import io.micatide.snapshot.SnapshotFile;
import io.micatide.snapshot.SnapshotRestorer;
import io.micatide.snapshot.SnapshotTaker;
import io.micatide.snapshot.StoreCalls;
import io.micatide.snapshot.StoreImage;
import io.micatide.store.StoreKeys;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Snapshots taken while users go on, files that are not what was written, and what a restored service answers. */
class SnapshotTest {
    private static final byte[] KEY = "a key of sixteen bytes".getBytes(StandardCharsets.UTF_8);

    /** Calls over a day's network; time passes while one waits, and everybody else goes on. */
    private static final class Calls implements StoreCalls {
        private final ArchiveScenario day;
        private final Http http;
        int left = Integer.MAX_VALUE;
        int page = 7;
        long gapMicros = 100 * Micros.MILLISECOND;

        Calls(ArchiveScenario day) {
            this.day = day;
            this.http = day.network.from(day.time.new Process(), "state");
        }

        private Reply answer(Reply[] reply) {
            if (--left < 0) {
                throw new IllegalStateException("killed");
            }
            while (reply[0] == null) {
                day.time.run(Micros.MILLISECOND);
            }
            day.time.run(gapMicros);
            return reply[0];
        }

        @Override
        public Reply get(String path) {
            Reply[] reply = new Reply[1];
            // As pages of a long history come: a few values at a time.
            http.get(path.replace("most=500", "most=" + page), 2 * Micros.SECOND, r -> reply[0] = r);
            return answer(reply);
        }

        @Override
        public Reply post(String path, byte[] body) {
            Reply[] reply = new Reply[1];
            http.post(path, body, 2 * Micros.SECOND, r -> reply[0] = r);
            return answer(reply);
        }

        @Override
        public void pause() {
            day.time.run(300 * Micros.MILLISECOND);
        }
    }

    private static Map<String, String> stored(SimulatedStore state) {
        Map<String, String> values = new TreeMap<>();
        state.values().forEach((key, value) -> {
            if (!key.equals(StoreKeys.LEADER) && !key.startsWith(StoreKeys.CONTROLLERS) && !key.equals("restored")) {
                values.put(key, new String(value.json(), StandardCharsets.UTF_8));
            }
        });
        return values;
    }

    private static Map<String, String> held(StoreImage image) {
        Map<String, String> values = new TreeMap<>();
        image.values().forEach((key, value) -> values.put(key, value.json()));
        return values;
    }

    /** While everything moves, the image is what the service held at its revision, not before and not after in any part. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0.05", "4, 0.05", "5, 0.2"})
    void anImageIsOfOneRevision(int seed, double losses) throws SnapshotException {
        ArchiveScenario day = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        day.users.busy(20);
        Map<Long, Map<String, String>> then = new TreeMap<>();
        day.state.onEachChange(revision -> then.put(revision, stored(day.state)));
        day.network.setLossRates(losses, 0);
        day.users.later(40);
        Calls calls = new Calls(day);
        calls.page = 2;
        calls.gapMicros = 700 * Micros.MILLISECOND;
        StoreImage image = new SnapshotTaker(calls, line -> {}).take();
        assertTrue(then.size() > 20, then.size() + " changes meanwhile");
        assertEquals(
                ((TreeMap<Long, Map<String, String>>) then)
                        .floorEntry(image.revision())
                        .getValue(),
                held(image));
    }

    /** Every poll, repeated submission and abort is answered by the restored service as the first would have. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, false"})
    void aRestoredServiceAnswersAsTheFirst(int seed, boolean advance, @TempDir Path folder) throws Exception {
        ArchiveScenario first = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        first.users.busy(30);
        first.users.settle();
        new StoredJobs(first).check();
        Path file = folder.resolve("a.snapshot");
        SnapshotFile.write(file, new SnapshotTaker(new Calls(first), line -> {}).take(), KEY, "then");
        SnapshotFile.Content content = SnapshotFile.read(file, KEY);
        assertEquals(stored(first.state), held(content.image()));

        ArchiveScenario second = ArchiveScenario.withoutControllers(seed, 2048, 5);
        new SnapshotRestorer(new Calls(second), 5, 2048, line -> {})
                .restore(content.image(), content.digest(), advance);
        assertEquals(stored(first.state), stored(second.state));
        assertEquals(advance, second.state.revision() > content.image().revision());
        second.goesOnAs(first);
        second.users.busy(20);
        second.users.settle();
        new StoredJobs(second).check();
        assertEquals(java.util.List.of(), first.broken);
        assertEquals(java.util.List.of(), second.broken);
    }

    /** A restore that is killed after any of its calls is repeated, and ends as one that was not; meanwhile nobody can serve. */
    @Test
    void aRestoreMayBeKilledAnywhere() throws Exception {
        ArchiveScenario first = new ArchiveScenario(9, 2048, 5, Archiver::new);
        first.users.busy(15);
        first.users.settle();
        StoreImage image = new SnapshotTaker(new Calls(first), line -> {}).take();
        for (int kill = 1; kill < 60; kill++) {
            ArchiveScenario second = ArchiveScenario.withoutControllers(kill, 2048, 5);
            Calls calls = new Calls(second);
            calls.left = kill;
            boolean killed = false;
            try {
                new SnapshotRestorer(calls, 5, 2048, line -> {}).restore(image, "digest", false);
            } catch (IllegalStateException e) {
                killed = true;
                boolean begun = !second.state.values().isEmpty();
                assertEquals(begun, second.state.values().containsKey("job/being-restored"));
                SnapshotRestorer other = new SnapshotRestorer(new Calls(second), 5, 2048, line -> {});
                if (begun) {
                    assertThrows(SnapshotException.class, () -> other.restore(image, "another digest", false));
                }
                other.restore(image, "digest", false);
            }
            assertEquals(stored(first.state), stored(second.state), "killed after " + kill + " calls");
            if (!killed) {
                return;
            }
        }
    }

    @Test
    void aServiceThatHoldsSomethingIsNotTouched() throws Exception {
        ArchiveScenario day = new ArchiveScenario(1, 2048, 5, Archiver::new);
        day.users.busy(10);
        StoreImage image = new SnapshotTaker(new Calls(day), line -> {}).take();
        Map<String, String> before = stored(day.state);
        SnapshotException e = assertThrows(SnapshotException.class, () -> {
            ArchiveScenario other = ArchiveScenario.withoutControllers(2, 2048, 5);
            other.state.preset("booking/r-1", "{}".getBytes(StandardCharsets.UTF_8));
            new SnapshotRestorer(new Calls(other), 5, 2048, line -> {}).restore(image, "digest", false);
        });
        assertTrue(e.getMessage().contains("booking/r-1"), e.getMessage());
        SnapshotException large = assertThrows(
                SnapshotException.class,
                () -> new SnapshotRestorer(new Calls(ArchiveScenario.withoutControllers(2, 2048, 5)), 5, 60, line -> {})
                        .restore(image, "digest", false));
        assertTrue(large.getMessage().contains("nothing was written"), large.getMessage());
        assertFalse(before.isEmpty());
    }

    private static StoreImage image() {
        TreeMap<String, RawStoreCodec.Value> values = new TreeMap<>();
        for (int i = 0; i < 300; i++) {
            String key = StoreKeys.job(String.format("wk-%06d", i));
            values.put(
                    key,
                    new RawStoreCodec.Value(key, "{\"state\":\"DONE\",\"tasks\":" + i + ",\"submitted\":5}", 10 + i));
        }
        return new StoreImage(400, values);
    }

    /** Half a file, any changed byte, another key: told, and nothing is read from it. */
    @Test
    void aFileThatIsNotWhatWasWrittenIsRefused(@TempDir Path folder) throws IOException, SnapshotException {
        Path file = folder.resolve("a.snapshot");
        SnapshotFile.write(file, image(), KEY, "then");
        assertEquals(held(image()), held(SnapshotFile.read(file, KEY).image()));
        assertEquals(held(image()), held(SnapshotFile.read(file, null).image()));
        byte[] whole = Files.readAllBytes(file);
        for (int length = 0; length < whole.length; length += 11) {
            InputStream half = new ByteArrayInputStream(whole, 0, length);
            assertThrows(SnapshotException.class, () -> SnapshotFile.read("half", half, KEY), "cut at " + length);
        }
        int harmless = 0;
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 0x10;
            try {
                // Gzip's own header and the bits that fill up its last byte say nothing of the content.
                assertEquals(
                        held(image()),
                        held(SnapshotFile.read("changed", new ByteArrayInputStream(changed), KEY)
                                .image()));
                harmless++;
            } catch (SnapshotException e) {
                assertTrue(e.getMessage().startsWith("changed: "), e.getMessage());
            }
        }
        assertTrue(harmless < 12, harmless + " changes were not missed");
        assertThrows(
                SnapshotException.class,
                () -> SnapshotFile.read(file, "another key of sixteen".getBytes(StandardCharsets.UTF_8)));
        Path unsigned = folder.resolve("c.snapshot");
        SnapshotFile.write(unsigned, image(), null, "then");
        assertThrows(SnapshotException.class, () -> SnapshotFile.read(unsigned, KEY));
        assertThrows(
                SnapshotException.class, () -> SnapshotFile.write(unsigned, image(), null, "then"), "is there already");
        assertThrows(SnapshotException.class, () -> SnapshotFile.read(folder.resolve("none"), null));
    }
}
