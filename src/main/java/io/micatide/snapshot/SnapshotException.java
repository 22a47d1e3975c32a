package io.micatide.snapshot;

/** A snapshot that cannot be taken, is not sound or cannot be restored; the message says where and why. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    public SnapshotException(String message) {
        super(message);
    }
}
