package io.micatide.controller;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the version of this program that the build wrote into its resources. */
final class BuildVersion {
    private static final String UNKNOWN = "unknown";

    private BuildVersion() {}

    /** Returns the version, or "unknown" if the build wrote none or it cannot be read. */
    static String name() {
        try (InputStream in = BuildVersion.class.getResourceAsStream("/micatide-version.txt")) {
            return in == null ? UNKNOWN : new String(in.readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
