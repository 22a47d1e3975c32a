package io.micatide.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micatide.model.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of the platform's settings file and of the operators' tuning file. */
class SettingsTest {
    static String validSettings() throws IOException {
        try (InputStream in = SettingsTest.class.getResourceAsStream("/warm-up-settings.toml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replaceAll("@[a-z]+@", "127.0.0.1:7000");
        }
    }

    @Test
    void unknownSettingsFieldsAreIgnored() throws IOException, MalformedException {
        Settings settings = SettingsReader.parse("new_field = 3\n" + validSettings());
        assertEquals("warm-0", settings.label());
        assertEquals(10_000_000, settings.workerLeaseMicros());
    }

    @ParameterizedTest
    @CsvSource({
        "label = \"warm-0\", label = 3, label",
        "lease_s = 10.0, lease_s = 0, lease_s",
        "lease_s = 10.0, '', deployment.workers.lease_s",
        "bind = \"127.0.0.1:7000\", bind = \"nowhere\", bind",
        "txn_ops = 16, txn_ops = \"x\", deployment.state.txn_ops",
        "[services], [service], services",
        "count = 2, count = , file",
    })
    void missingOrWrongFieldsAreNamed(String part, String replacement, String field) throws IOException {
        String text = validSettings().replace(part, replacement);
        MalformedException e = assertThrows(MalformedException.class, () -> SettingsReader.parse(text));
        assertEquals(field, e.field());
    }

    /**
     * Each row has an announced next limit and the limits that apply with it. The current limits are 1000 writes per second, values of 16 KiB
     * and 16 writes per transaction.
     */
    @ParameterizedTest
    @CsvSource({
        "'', 1000, 16384, 16",
        "value_kb = 2.0, 1000, 2048, 16",
        "txn_ops = 5, 1000, 16384, 5",
        "write_rps = 21.0, 21, 16384, 16",
        "value_kb = 64.0, 1000, 16384, 16",
    })
    void appliesTheSmallerLimit(String next, double writeRate, int valueBytes, int ops)
            throws IOException, MalformedException {
        Settings settings = SettingsReader.parse(validSettings()
                .replace("[deployment.cloud]", "[deployment.state.next]\n" + next + "\n[deployment.cloud]"));
        assertEquals(writeRate, settings.storeWritesPerSecond());
        assertEquals(valueBytes, settings.maxWritableValueBytes());
        assertEquals(ops, settings.maxTransactionWrites());
        assertEquals(2048, settings.pageTasks(), "size of stored pages must not depend on the next limit");
    }

    @ParameterizedTest
    @CsvSource({
        "value_kb = \"x\", deployment.state.next.value_kb",
        "value_kb = 0.0, deployment.state.next.value_kb",
        "txn_ops = 1, deployment.state.next.txn_ops",
        "write_rps = -1.0, deployment.state.next.write_rps",
    })
    void wrongNextLimitsAreNamed(String next, String field) throws IOException {
        String text = validSettings()
                .replace("[deployment.cloud]", "[deployment.state.next]\n" + next + "\n[deployment.cloud]");
        MalformedException e = assertThrows(MalformedException.class, () -> SettingsReader.parse(text));
        assertEquals(field, e.field());
    }

    /** With standbys the leader's lease is at most 3 s by default; a lease set in the tuning file takes precedence. */
    @ParameterizedTest
    @CsvSource({
        "'', 17.5, 5250",
        "standby = true, 17.5, 3000",
        "standby = true, 8.0, 2400",
        "'standby = true\nleader_lease_s = 4', 17.5, 4000"
    })
    void leaderLeaseDependsOnTuningAndWorkerLease(String text, String workersLease, long millis)
            throws IOException, MalformedException {
        Settings settings =
                SettingsReader.parse(validSettings().replace("lease_s = 10.0", "lease_s = " + workersLease));
        assertEquals(millis * 1_000, TuningReader.parse(text, settings).leaderLeaseMicros());
    }

    @ParameterizedTest
    @CsvSource({"leader_lease = 3, leader_lease", "leader_lease_s = 9.0, leader_lease_s", "idle_s = \"x\", idle_s"})
    void wrongTuningKeysAndValuesAreErrors(String text, String field) throws IOException, MalformedException {
        Settings settings = SettingsReader.parse(validSettings());
        MalformedException e = assertThrows(MalformedException.class, () -> TuningReader.parse(text, settings));
        assertEquals(field, e.field());
    }
}
