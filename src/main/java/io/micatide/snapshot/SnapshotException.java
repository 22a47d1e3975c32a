package io.micatide.snapshot;

/** Thrown when a snapshot cannot be taken, is damaged or cannot be restored; the message states the place and the cause. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message place and cause, for the operator
     */
    public SnapshotException(String message) {
        super(message);
    }
}
