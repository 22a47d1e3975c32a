package io.micatide.controller;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The version of this program, as the build wrote it. */
final class Build {
    private Build() {}

    static String name() {
        try (InputStream in = Build.class.getResourceAsStream("/micatide-version.txt")) {
            return in == null ? "unknown" : new String(in.readAllBytes(), StandardCharsets.UTF_8).trim();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
