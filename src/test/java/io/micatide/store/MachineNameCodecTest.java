package io.micatide.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MachineNameCodecTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "i-000231|i-/6/231",
                "i-000231 i-000232 i-000233 i-000240|i-/6/231+2,7",
                "i-000000 i-000001|i-/6/0+1",
                "i-999999 i-1000000|i-/6/999999 i-/7/1000000",
                "a/b-7 a/b-07 a/b|a/b/0/ a/b-/1/7 a/b-/2/7",
                "x12345678901|x12/9/345678901",
            })
    void decompressRestoresTheNames(String names, String groups) {
        List<String> nameList = List.of(names.split(" "));
        assertEquals(List.of(groups.split(" ")), MachineNameCodec.compress(nameList));
        assertEquals(
                new HashSet<>(nameList),
                new HashSet<>(MachineNameCodec.decompress(MachineNameCodec.compress(nameList))));
    }

    @ParameterizedTest
    @CsvSource({"i-000231", "i/x/3", "i/6/3+", "i/6/", "/"})
    void malformedGroupIsRefused(String text) {
        assertThrows(IllegalArgumentException.class, () -> MachineNameCodec.decompress(List.of(text)));
    }

    /**
     * Random sets of names are restored, and the names of 505 machines, every second one of 1,010, fit into the smallest value size
     * that the operators named.
     */
    @Test
    void fleetsOfAnyNumbersAreRestored() {
        Random random = new Random(5);
        for (int trial = 0; trial < 300; trial++) {
            Set<String> names = new HashSet<>();
            for (int i = 0; i < 505; i++) {
                names.add(String.format("i-%06d", random.nextInt(trial < 100 ? 1_010 : 50_000)));
            }
            assertEquals(names, new HashSet<>(MachineNameCodec.decompress(MachineNameCodec.compress(names))));
        }
        List<String> worst = new ArrayList<>();
        for (int i = 0; i < 505; i++) {
            worst.add(String.format("i-%06d", 2 * i));
        }
        assertTrue(
                MachineNameCodec.compressedBytes(worst) < 1_240,
                "compressed size in bytes: " + MachineNameCodec.compressedBytes(worst));
    }
}
