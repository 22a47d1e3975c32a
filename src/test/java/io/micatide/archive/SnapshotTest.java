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

/** Tests snapshots taken while users send requests, damaged snapshot files, and the answers of a restored service. */
class SnapshotTest {
    private static final byte[] KEY = "a key of sixteen bytes".getBytes(StandardCharsets.UTF_8);

    /** Blocking calls over the network of a scenario. Virtual time advances while a call waits, so that the other processes continue. */
    private static final class Calls implements StoreCalls {
        private final ArchiveScenario scenario;
        private final Http http;
        int remainingCalls = Integer.MAX_VALUE;
        int pageSize = 7;
        long gapMicros = 100 * Micros.MILLISECOND;

        Calls(ArchiveScenario scenario) {
            this.scenario = scenario;
            this.http = scenario.network.from(scenario.time.new Process(), "state");
        }

        private Reply answer(Reply[] reply) {
            if (--remainingCalls < 0) {
                throw new IllegalStateException("killed");
            }
            while (reply[0] == null) {
                scenario.time.run(Micros.MILLISECOND);
            }
            scenario.time.run(gapMicros);
            return reply[0];
        }

        @Override
        public Reply get(String path) {
            Reply[] reply = new Reply[1];
            // Small pages, so that a snapshot of few keys takes several reads, as one of a large store does.
            http.get(path.replace("most=500", "most=" + pageSize), 2 * Micros.SECOND, r -> reply[0] = r);
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
            scenario.time.run(300 * Micros.MILLISECOND);
        }
    }

    private static Map<String, String> storeContent(SimulatedStore state) {
        Map<String, String> values = new TreeMap<>();
        state.values().forEach((key, value) -> {
            if (!key.equals(StoreKeys.LEADER) && !key.startsWith(StoreKeys.CONTROLLERS) && !key.equals("restored")) {
                values.put(key, new String(value.json(), StandardCharsets.UTF_8));
            }
        });
        return values;
    }

    private static Map<String, String> imageContent(StoreImage image) {
        Map<String, String> values = new TreeMap<>();
        image.values().forEach((key, value) -> values.put(key, value.json()));
        return values;
    }

    /** An image taken while records change must hold exactly the content of the store at the revision of the image, in every part. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0.05", "4, 0.05", "5, 0.2"})
    void anImageIsOfOneRevision(int seed, double losses) throws SnapshotException {
        ArchiveScenario scenario = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        scenario.users.runRequests(20);
        Map<Long, Map<String, String>> contentByRevision = new TreeMap<>();
        scenario.store.onEachChange(revision -> contentByRevision.put(revision, storeContent(scenario.store)));
        scenario.network.setLossRates(losses, 0);
        scenario.users.scheduleRequests(40);
        Calls calls = new Calls(scenario);
        calls.pageSize = 2;
        calls.gapMicros = 700 * Micros.MILLISECOND;
        StoreImage image = new SnapshotTaker(calls, line -> {}).take();
        assertTrue(contentByRevision.size() > 20, contentByRevision.size() + " changes during the snapshot");
        assertEquals(
                ((TreeMap<Long, Map<String, String>>) contentByRevision)
                        .floorEntry(image.revision())
                        .getValue(),
                imageContent(image));
    }

    /** The restored service answers every poll, repeated submission and abort as the original would have. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, false"})
    void aRestoredServiceAnswersAsTheFirst(int seed, boolean advance, @TempDir Path folder) throws Exception {
        ArchiveScenario first = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        first.users.runRequests(30);
        first.users.awaitFinished();
        new StoredJobs(first).check();
        Path file = folder.resolve("a.snapshot");
        SnapshotFile.write(file, new SnapshotTaker(new Calls(first), line -> {}).take(), KEY, "then");
        SnapshotFile.Content content = SnapshotFile.read(file, KEY);
        assertEquals(storeContent(first.store), imageContent(content.image()));

        ArchiveScenario second = ArchiveScenario.withoutControllers(seed, 2048, 5);
        new SnapshotRestorer(new Calls(second), 5, 2048, line -> {})
                .restore(content.image(), content.digest(), advance);
        assertEquals(storeContent(first.store), storeContent(second.store));
        assertEquals(advance, second.store.revision() > content.image().revision());
        second.startControllersAfter(first);
        second.users.runRequests(20);
        second.users.awaitFinished();
        new StoredJobs(second).check();
        assertEquals(java.util.List.of(), first.violations);
        assertEquals(java.util.List.of(), second.violations);
    }

    /**
     * A restore that is killed after any of its calls and then repeated ends with the same content. Until then a marker record keeps
     * controllers from serving, and a restore of another snapshot is refused.
     */
    @Test
    void aRestoreMayBeKilledAnywhere() throws Exception {
        ArchiveScenario first = new ArchiveScenario(9, 2048, 5, Archiver::new);
        first.users.runRequests(15);
        first.users.awaitFinished();
        StoreImage image = new SnapshotTaker(new Calls(first), line -> {}).take();
        for (int kill = 1; kill < 60; kill++) {
            ArchiveScenario second = ArchiveScenario.withoutControllers(kill, 2048, 5);
            Calls calls = new Calls(second);
            calls.remainingCalls = kill;
            boolean killed = false;
            try {
                new SnapshotRestorer(calls, 5, 2048, line -> {}).restore(image, "digest", false);
            } catch (IllegalStateException e) {
                killed = true;
                boolean hasBegun = !second.store.values().isEmpty();
                assertEquals(hasBegun, second.store.values().containsKey("job/being-restored"));
                SnapshotRestorer other = new SnapshotRestorer(new Calls(second), 5, 2048, line -> {});
                if (hasBegun) {
                    assertThrows(SnapshotException.class, () -> other.restore(image, "another digest", false));
                }
                other.restore(image, "digest", false);
            }
            assertEquals(storeContent(first.store), storeContent(second.store), "killed after " + kill + " calls");
            if (!killed) {
                return;
            }
        }
    }

    /** A restore is refused if the store holds other records, or if a value of the image exceeds the limit of the store. */
    @Test
    void aServiceThatHoldsSomethingIsNotTouched() throws Exception {
        ArchiveScenario scenario = new ArchiveScenario(1, 2048, 5, Archiver::new);
        scenario.users.runRequests(10);
        StoreImage image = new SnapshotTaker(new Calls(scenario), line -> {}).take();
        Map<String, String> before = storeContent(scenario.store);
        SnapshotException e = assertThrows(SnapshotException.class, () -> {
            ArchiveScenario other = ArchiveScenario.withoutControllers(2, 2048, 5);
            other.store.preset("booking/r-1", "{}".getBytes(StandardCharsets.UTF_8));
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

    /** A file that is truncated, has a changed byte, or is signed with another key or none is refused as a whole. */
    @Test
    void aFileThatIsNotWhatWasWrittenIsRefused(@TempDir Path folder) throws IOException, SnapshotException {
        Path file = folder.resolve("a.snapshot");
        SnapshotFile.write(file, image(), KEY, "then");
        assertEquals(
                imageContent(image()), imageContent(SnapshotFile.read(file, KEY).image()));
        assertEquals(
                imageContent(image()),
                imageContent(SnapshotFile.read(file, null).image()));
        byte[] complete = Files.readAllBytes(file);
        for (int length = 0; length < complete.length; length += 11) {
            InputStream truncated = new ByteArrayInputStream(complete, 0, length);
            assertThrows(
                    SnapshotException.class, () -> SnapshotFile.read("half", truncated, KEY), "truncated at " + length);
        }
        int ignoredChanges = 0;
        for (int at = 0; at < complete.length; at++) {
            byte[] changed = complete.clone();
            changed[at] ^= 0x10;
            try {
                // Some bits of the gzip header and the padding of the last byte don't affect the content.
                assertEquals(
                        imageContent(image()),
                        imageContent(SnapshotFile.read("changed", new ByteArrayInputStream(changed), KEY)
                                .image()));
                ignoredChanges++;
            } catch (SnapshotException e) {
                assertTrue(e.getMessage().startsWith("changed: "), e.getMessage());
            }
        }
        assertTrue(ignoredChanges < 12, ignoredChanges + " changed bytes did not affect the content");
        assertThrows(
                SnapshotException.class,
                () -> SnapshotFile.read(file, "another key of sixteen".getBytes(StandardCharsets.UTF_8)));
        Path unsigned = folder.resolve("c.snapshot");
        SnapshotFile.write(unsigned, image(), null, "then");
        assertThrows(SnapshotException.class, () -> SnapshotFile.read(unsigned, KEY));
        assertThrows(
                SnapshotException.class,
                () -> SnapshotFile.write(unsigned, image(), null, "then"),
                "the file exists already");
        assertThrows(SnapshotException.class, () -> SnapshotFile.read(folder.resolve("none"), null));
    }
}
