package io.micatide.snapshot;

/** Thrown when a snapshot cannot be taken, is not sound or cannot be restored; the message says where and why. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Makes an exception.
     *
     * @param message says where and why, for the operator
     */
    public SnapshotException(String message) {
        super(message);
    }
}
