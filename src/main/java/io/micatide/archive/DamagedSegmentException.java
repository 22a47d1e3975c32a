package io.micatide.archive;

/** Thrown when a stored segment is not what was written; the message names its key and what is wrong. */
public final class DamagedSegmentException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedSegmentException(String key, String problem) {
        super(key + ": " + problem);
    }
}
