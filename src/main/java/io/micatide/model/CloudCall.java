package io.micatide.model;

import java.util.List;

/** A call to the cloud that the leader has decided on. Immutable. */
public sealed interface CloudCall {
    /**
     * Requests machines.
     *
     * @param requestName name of the request, unique over all terms; the cloud executes a request of one name once
     * @param type name of the machine type
     * @param zone where the machines are to be
     * @param spot whether they are spot instances, else on-demand
     * @param count how many are wanted, at most 50; the cloud may give fewer
     */
    record RequestMachines(String requestName, String type, String zone, boolean spot, int count) implements CloudCall {}

    /**
     * Deletes machines; nothing happens for those that are gone already.
     *
     * @param machines names, at most 100
     */
    record DeleteMachines(List<String> machines) implements CloudCall {}

    /** Asks for the list of all machines, which lags behind. */
    record ListMachines() implements CloudCall {}

    /** Asks for the machine types with their prices and zones. */
    record ListTypes() implements CloudCall {}
}
