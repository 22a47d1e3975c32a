package io.micatide.model;

/**
 * A machine as it stands in the cloud's list, which lags behind.
 *
 * @param name of the machine
 * @param type name of its machine type
 * @param zone where it is
 * @param spot whether it is a spot instance, else on-demand
 * @param state what the cloud says of it
 * @param ageMicros time since it was requested, in microseconds, when the list was made
 */
public record ListedMachine(String name, String type, String zone, boolean spot, State state, long ageMicros) {
    /** What the cloud says of a machine. */
    public enum State {
        /** It was created and does not run yet. */
        BOOTING,
        /** It runs. */
        RUNNING,
        /** It has stopped on its own. */
        FAILED
    }
}
