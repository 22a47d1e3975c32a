package io.micatide.archive;

/** A stored segment is not what was written; the message names its key and what is wrong. */
public final class DamagedException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedException(String key, String what) {
        super(key + ": " + what);
    }
}
