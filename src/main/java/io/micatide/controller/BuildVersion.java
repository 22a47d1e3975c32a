package io.micatide.controller;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The version of this program, as the build wrote it. */
final class BuildVersion {
    private BuildVersion() {}

    static String name() {
        try (InputStream in = BuildVersion.class.getResourceAsStream("/micatide-version.txt")) {
            return in == null ? "unknown" : new String(in.readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
