package io.micatide.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micatide.core.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsTest {
    static String good() throws IOException {
        try (InputStream in = SettingsTest.class.getResourceAsStream("/warm-up-settings.toml")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replaceAll("@[a-z]+@", "127.0.0.1:7000");
        }
    }

    @Test
    void unknownFieldsOfThePlatformAreIgnored() throws IOException, MalformedException {
        Settings settings = SettingsReader.parse("new_field = 3\n" + good());
        assertEquals("warm-0", settings.label());
        assertEquals(10_000_000, settings.leaseMicros());
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
    void missingOrWrongFieldsAreNamed(String part, String instead, String field) throws IOException {
        String text = good().replace(part, instead);
        MalformedException e = assertThrows(MalformedException.class, () -> SettingsReader.parse(text));
        assertEquals(field, e.field());
    }

    @ParameterizedTest
    @CsvSource({"leader_lease = 3, leader_lease", "leader_lease_s = 9.0, leader_lease_s", "idle_s = \"x\", idle_s"})
    void operatorsTyposAreErrors(String text, String field) throws IOException, MalformedException {
        Settings settings = SettingsReader.parse(good());
        MalformedException e = assertThrows(MalformedException.class, () -> TuningReader.parse(text, settings));
        assertEquals(field, e.field());
    }
}
