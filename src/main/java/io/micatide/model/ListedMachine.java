package io.micatide.model;

/** A line of the cloud's list. */
public record ListedMachine(String name, String type, String zone, boolean spot, State state, long ageMicros) {
    /** What the cloud says of a machine; a failed one has stopped on its own. */
    public enum State {
        BOOTING,
        RUNNING,
        FAILED
    }
}
