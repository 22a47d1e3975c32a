package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Digests of everything that the service sends on simulated days, as recorded in {@code behavior-digests.txt}: one line each with
 * scenario, seed, number of messages and SHA-256. They show that a change of the code changes nothing that the service does. The
 * {@code main} methods of the tests print the lines of any seeds, to be compared between two versions; after an intended change of
 * behavior their output replaces the recorded lines, and the commit says why.
 */
public final class RecordedDigests {
    private static final String FILE = "/behavior-digests.txt";

    private RecordedDigests() {}

    /** The recorded lines of one scenario. */
    public static List<String> lines(String scenario) {
        try (InputStream file = RecordedDigests.class.getResourceAsStream(FILE)) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith(scenario + " "))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(FILE, e);
        }
    }

    /** Plays the seed of a recorded line again and compares the digests. */
    public static void check(String line, LongFunction<String> play) {
        String[] parts = line.split(" ", 3);
        assertEquals(parts[2], play.apply(Long.parseLong(parts[1])), parts[0] + " " + parts[1]);
    }

    /** Prints the lines of the seeds from the first argument up to, without, the second. */
    public static void print(String scenario, String[] arguments, LongFunction<String> play) {
        for (long seed = Long.parseLong(arguments[0]); seed < Long.parseLong(arguments[1]); seed++) {
            System.out.println(scenario + " " + seed + " " + play.apply(seed));
        }
    }

    /** SHA-256 over a sequence of messages; records those of a simulated network with their virtual times. */
    public static final class Digester implements VirtualNetwork.Recorder {
        private final MessageDigest digest;
        private long messages;

        public Digester() {
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }

        @Override
        public void request(long atMicros, String method, String endpoint, String path, byte[] body) {
            add((atMicros + " > " + method + " " + endpoint + path).getBytes(StandardCharsets.UTF_8), body);
        }

        @Override
        public void response(long atMicros, String endpoint, String path, int status, byte[] body) {
            add((atMicros + " < " + status + " " + endpoint + path).getBytes(StandardCharsets.UTF_8), body);
        }

        /** Each part goes in with its length, so that no two different sequences of messages look alike. */
        public void add(byte[]... parts) {
            messages++;
            for (byte[] part : parts) {
                digest.update(ByteBuffer.allocate(Integer.BYTES)
                        .putInt(part == null ? -1 : part.length)
                        .array());
                if (part != null) {
                    digest.update(part);
                }
            }
        }

        /** The number of messages and their digest; to be called once, at the end. */
        public String summary() {
            return messages + " " + HexFormat.of().formatHex(digest.digest());
        }
    }
}
