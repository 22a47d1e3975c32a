package io.micatide.model;

import java.util.List;

/** A call to the cloud API that the leader has decided on. Immutable. */
public sealed interface CloudCall {
    /**
     * Requests machines.
     *
     * @param requestName name of the request, unique over all terms; the cloud executes requests of the same name only once
     * @param type name of the machine type
     * @param zone zone of the machines
     * @param spot whether to request spot instances, else on-demand ones
     * @param count number of machines, at most 50; the cloud may provide fewer
     */
    record RequestMachines(String requestName, String type, String zone, boolean spot, int count)
            implements CloudCall {}

    /**
     * Deletes machines; names of machines that no longer exist are ignored.
     *
     * @param machines names of the machines, at most 100
     */
    record DeleteMachines(List<String> machines) implements CloudCall {}

    /** Lists all machines; the list lags behind by up to {@link Settings#listLagMicros()}. */
    record ListMachines() implements CloudCall {}

    /** Lists the machine types with their prices and zones. */
    record ListTypes() implements CloudCall {}
}
