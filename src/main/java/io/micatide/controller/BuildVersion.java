package io.micatide.controller;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The version of this program, as the build wrote it. */
final class BuildVersion {
    private static final String UNKNOWN = "unknown";

    private BuildVersion() {}

    /** The version, or "unknown" where the build has written none. */
    static String name() {
        try (InputStream in = BuildVersion.class.getResourceAsStream("/micatide-version.txt")) {
            return in == null ? UNKNOWN : new String(in.readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
