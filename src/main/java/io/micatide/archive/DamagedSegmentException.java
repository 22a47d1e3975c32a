package io.micatide.archive;

/** Thrown when the content of a stored segment is damaged; the message names the segment's key and the problem. */
public final class DamagedSegmentException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedSegmentException(String key, String problem) {
        super(key + ": " + problem);
    }
}
