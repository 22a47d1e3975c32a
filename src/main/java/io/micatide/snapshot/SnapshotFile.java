package io.micatide.snapshot;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.RawStoreCodec;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveInputStream;
import org.apache.commons.compress.archivers.tar.TarArchiveOutputStream;
import org.apache.commons.compress.compressors.gzip.GzipCompressorInputStream;
import org.apache.commons.compress.compressors.gzip.GzipCompressorOutputStream;

/**
 * Writes and reads snapshot files. A file is a gzip-compressed tar archive, which any tar program can read: parts with one value per line, then
 * a manifest with the counts and the digest of each part, and, if the operator has a key, the manifest's MAC. A file is written under a
 * temporary name and renamed when it is complete.
 */
public final class SnapshotFile {
    /**
     * Summary of a file's manifest.
     *
     * @param revision the store's revision of the image
     * @param taken date and time at which the image was taken, as shown to operators
     * @param counts number of values by prefix
     * @param parts number of parts
     * @param signed whether the file has a MAC
     */
    public record Summary(long revision, String taken, Map<String, Integer> counts, int parts, boolean signed) {}

    /**
     * Content of a file that was read to its end and passed all checks.
     *
     * @param summary summary of the manifest
     * @param image the image that the file holds
     * @param digest SHA-256 digest of the manifest, in hexadecimal
     */
    public record Content(Summary summary, StoreImage image, String digest) {}

    private record Part(String name, int lines, String sha256) {}

    private static final int FORMAT = 1;
    private static final int LINES_PER_PART = 10_000;
    private static final long MAX_PART_BYTES = 256L << 20;
    private static final String MANIFEST = "manifest.json";
    private static final String MAC = "manifest.mac";

    private SnapshotFile() {}

    // ---- writing

    /**
     * Writes a file.
     *
     * @param file path of the file, which must not exist
     * @param image the image to write
     * @param key key of the MAC, or null for a file without one
     * @param taken date and time of the image, as shown to operators
     * @throws IOException if the file cannot be written
     * @throws SnapshotException if the file already exists
     */
    public static void write(Path file, StoreImage image, byte[] key, String taken)
            throws IOException, SnapshotException {
        if (Files.exists(file)) {
            throw new SnapshotException(file + ": is there already");
        }
        Path partialFile = file.resolveSibling(file.getFileName() + ".part");
        try (OutputStream raw = Files.newOutputStream(partialFile);
                TarArchiveOutputStream tar = new TarArchiveOutputStream(new GzipCompressorOutputStream(raw), "UTF-8")) {
            List<Part> parts = new ArrayList<>();
            StringBuilder lines = new StringBuilder();
            int count = 0;
            for (RawStoreCodec.Value value : image.values().values()) {
                lines.append(RawStoreCodec.jsonLine(value)).append('\n');
                if (++count == LINES_PER_PART) {
                    parts.add(writePart(tar, parts.size(), lines, count));
                    lines.setLength(0);
                    count = 0;
                }
            }
            if (count > 0) {
                parts.add(writePart(tar, parts.size(), lines, count));
            }
            byte[] manifest = manifest(image, parts, key != null, taken);
            writeEntry(tar, MANIFEST, manifest);
            if (key != null) {
                writeEntry(tar, MAC, mac(key, manifest).getBytes(StandardCharsets.US_ASCII));
            }
        }
        try {
            Files.move(partialFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(partialFile, file);
        }
    }

    private static Part writePart(TarArchiveOutputStream tar, int number, StringBuilder lines, int count)
            throws IOException {
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        String name = String.format("values/%06d.jsonl", number);
        writeEntry(tar, name, bytes);
        return new Part(name, count, DigestUtils.sha256Hex(bytes));
    }

    private static void writeEntry(TarArchiveOutputStream tar, String name, byte[] bytes) throws IOException {
        TarArchiveEntry entry = new TarArchiveEntry(name);
        entry.setSize(bytes.length);
        tar.putArchiveEntry(entry);
        tar.write(bytes);
        tar.closeArchiveEntry();
    }

    private static byte[] manifest(StoreImage image, List<Part> parts, boolean signed, String taken) {
        return Json.bytes(out -> {
            out.writeStartObject();
            out.writeNumberField("format", FORMAT);
            out.writeNumberField("revision", image.revision());
            out.writeStringField("taken", taken);
            out.writeBooleanField("signed", signed);
            out.writeObjectFieldStart("counts");
            for (Map.Entry<String, Integer> count : image.counts().entrySet()) {
                out.writeNumberField(count.getKey(), count.getValue());
            }
            out.writeEndObject();
            out.writeArrayFieldStart("parts");
            for (Part part : parts) {
                out.writeStartObject();
                out.writeStringField("name", part.name());
                out.writeNumberField("lines", part.lines());
                out.writeStringField("sha256", part.sha256());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        });
    }

    private static String mac(byte[] key, byte[] manifest) {
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key).hmacHex(manifest);
    }

    // ---- reading

    /**
     * Reads a file and checks every digest and count.
     *
     * @param file path of the file
     * @param key key of the MAC, or null to skip the check of the MAC: a signed file is then checked by its digests alone
     * @return the content
     * @throws SnapshotException if the file cannot be read or a check fails; the message states the problem and the part
     */
    public static Content read(Path file, byte[] key) throws SnapshotException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(file.toString(), in, key);
        } catch (NoSuchFileException e) {
            throw new SnapshotException(file + ": is not there");
        } catch (IOException e) {
            throw new SnapshotException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /**
     * Reads a file from a stream; otherwise like {@link #read(Path, byte[])}.
     *
     * @param file name of the file in messages
     * @param in the stream, which this method closes
     * @param key key of the MAC, or null to skip the check of the MAC
     * @return the content
     * @throws SnapshotException if the file cannot be read or a check fails; the message states the problem and the part
     */
    public static Content read(String file, InputStream in, byte[] key) throws SnapshotException {
        Map<String, byte[]> entries = readEntries(file, in);
        byte[] manifest = entries.get(MANIFEST);
        if (manifest == null) {
            throw new SnapshotException(file + ": is cut off, " + MANIFEST + " is missing");
        }
        byte[] mac = entries.get(MAC);
        if (key != null && mac == null) {
            throw new SnapshotException(file + ": is not signed, " + MAC + " is missing");
        }
        if (key != null && !MessageDigest.isEqual(mac(key, manifest).getBytes(StandardCharsets.US_ASCII), mac)) {
            throw new SnapshotException(
                    file + ": " + MAC + " does not fit the key: another key, or a changed " + MANIFEST);
        }
        try {
            return checkContent(file, entries, manifest, mac != null);
        } catch (MalformedException e) {
            throw new SnapshotException(file + ": " + MANIFEST + ": " + e.getMessage());
        }
    }

    private static Map<String, byte[]> readEntries(String file, InputStream in) throws SnapshotException {
        Map<String, byte[]> entries = new TreeMap<>();
        String entryName = "its beginning";
        try (GzipCompressorInputStream decompressed = new GzipCompressorInputStream(new BufferedInputStream(in));
                TarArchiveInputStream tar = new TarArchiveInputStream(decompressed, "UTF-8")) {
            for (TarArchiveEntry entry = tar.getNextEntry(); entry != null; entry = tar.getNextEntry()) {
                entryName = entry.getName();
                if (entry.getSize() > MAX_PART_BYTES) {
                    throw new SnapshotException(file + ": " + entryName + " is larger than a part may be");
                }
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                tar.transferTo(bytes);
                if (bytes.size() != entry.getSize()) {
                    throw new SnapshotException(file + ": is cut off in " + entryName);
                }
                entries.put(entryName, bytes.toByteArray());
            }
            // Reads to the end of the compressed stream, since its checksum is verified only there.
            decompressed.transferTo(OutputStream.nullOutputStream());
            return entries;
        } catch (IOException | IllegalArgumentException e) {
            throw new SnapshotException(file + ": cannot be read after " + entryName + ": " + e.getMessage());
        }
    }

    private static Content checkContent(String file, Map<String, byte[]> entries, byte[] manifest, boolean signed)
            throws MalformedException, SnapshotException {
        JsonNode tree = Json.tree(manifest);
        if (tree.path("format").asInt() != FORMAT) {
            throw new SnapshotException(file + ": format is " + tree.path("format") + ", this version reads " + FORMAT);
        }
        if (tree.path("signed").asBoolean() != signed) {
            throw new SnapshotException(
                    file + ": " + MAC + (signed ? " is there though nothing was signed" : " is missing"));
        }
        TreeMap<String, RawStoreCodec.Value> values = new TreeMap<>();
        for (JsonNode part : tree.path("parts")) {
            String name = part.path("name").asText();
            byte[] bytes = entries.get(name);
            if (bytes == null) {
                throw new SnapshotException(file + ": " + name + " is missing");
            }
            if (!DigestUtils.sha256Hex(bytes).equals(part.path("sha256").asText())) {
                throw new SnapshotException(file + ": " + name + " is not what was written, its digest is wrong");
            }
            String[] lines = new String(bytes, StandardCharsets.UTF_8).split("\n");
            if (lines.length != part.path("lines").asInt()) {
                throw new SnapshotException(
                        file + ": " + name + " has " + lines.length + " values and not " + part.path("lines"));
            }
            for (String line : lines) {
                RawStoreCodec.Value value = RawStoreCodec.value(line.getBytes(StandardCharsets.UTF_8));
                values.put(value.key(), value);
            }
        }
        Map<String, Integer> counts = new TreeMap<>();
        tree.path("counts")
                .properties()
                .forEach(count -> counts.put(count.getKey(), count.getValue().asInt()));
        StoreImage image = new StoreImage(tree.path("revision").asLong(), values);
        if (!counts.equals(image.counts())) {
            throw new SnapshotException(file + ": holds " + image.counts() + " and not " + counts);
        }
        return new Content(
                new Summary(
                        image.revision(),
                        tree.path("taken").asText(),
                        counts,
                        tree.path("parts").size(),
                        signed),
                image,
                DigestUtils.sha256Hex(manifest));
    }
}
