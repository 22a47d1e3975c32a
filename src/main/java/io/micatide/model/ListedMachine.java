package io.micatide.model;

/**
 * A machine in the cloud's list of machines, which lags behind.
 *
 * @param name of the machine
 * @param type name of its machine type
 * @param zone zone of the machine
 * @param spot whether it is a spot instance, else on-demand
 * @param state state of the machine
 * @param ageMicros time from the request for the machine to the creation of the list, in microseconds
 */
public record ListedMachine(String name, String type, String zone, boolean spot, State state, long ageMicros) {
    /** State of a machine according to the cloud. */
    public enum State {
        /** The machine was created and does not run yet. */
        BOOTING,
        /** The machine runs. */
        RUNNING,
        /** The machine stopped without a request. */
        FAILED
    }
}
