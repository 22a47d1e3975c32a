package io.micatide.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** The OpenAPI description of the user API, for authors and generators of clients. It is read from the class path on first use. */
public final class ApiDescription {
    /** Path at which controllers serve the description if the tuning setting {@code description} is on. */
    public static final String PATH = "/v1/openapi.json";

    private static final String RESOURCE = "/openapi/micatide-v1.json";

    private byte[] bytes;

    /**
     * Returns the description.
     *
     * @return JSON; the same array on each call, which callers must not change
     */
    public byte[] bytes() {
        if (bytes == null) {
            try (InputStream in = ApiDescription.class.getResourceAsStream(RESOURCE)) {
                bytes = in.readAllBytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return bytes;
    }
}
