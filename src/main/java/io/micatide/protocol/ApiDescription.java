package io.micatide.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** The users' interface as it is described for those who write or generate clients: OpenAPI, read when it is first asked for. */
public final class ApiDescription {
    /** Where controllers serve it, if they do. */
    public static final String PATH = "/v1/openapi.json";

    private static final String RESOURCE = "/openapi/micatide-v1.json";

    private byte[] bytes;

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
