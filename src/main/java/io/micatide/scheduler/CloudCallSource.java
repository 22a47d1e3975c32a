package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import java.util.List;

/**
 * Supplies the calls to the cloud that a leader sends, and receives their outcomes.
 *
 * <p>Calls are not fenced, so they are requested from here only while the lease is certainly held. Only the leader's actor calls these methods.
 * Times are microseconds of the leader's steady clock.
 */
public interface CloudCallSource {
    /**
     * Applies the answer of the cloud to the call for its machine types.
     *
     * @param types all machine types that the cloud offers
     * @param nowMicros current time
     */
    void machineTypesChanged(List<MachineType> types, long nowMicros);

    /**
     * Returns the calls to the cloud that are due, and marks them as sent.
     *
     * @param nowMicros current time
     * @return calls to send now; the outcome of each has to be reported to this object
     */
    List<CloudCall> cloudCalls(long nowMicros);

    /**
     * Applies the answer to a provisioning request that gave machines, at most as many as requested.
     *
     * @param request name of the request
     * @param names of the machines
     * @param nowMicros current time
     */
    void machinesRented(String request, List<String> names, long nowMicros);

    /**
     * Applies the refusal of a provisioning request for lack of machines.
     *
     * @param request name of the request
     * @param nowMicros current time
     */
    void noCapacity(String request, long nowMicros);

    /**
     * Marks a provisioning request that got no answer; a later list of machines shows whether it was executed.
     *
     * @param request name of the request
     * @param nowMicros current time
     */
    void provisioningUnanswered(String request, long nowMicros);

    /**
     * Marks a provisioning request that was refused without being executed; it may be sent again under the same name.
     *
     * @param request name of the request
     */
    void provisioningNotExecuted(String request);

    /**
     * Applies the answer to the deletion of machines: no task can run on them any longer.
     *
     * @param names of the machines
     * @param nowMicros current time
     */
    void machinesDeleted(List<String> names, long nowMicros);

    /**
     * Applies the end of the call for the list of machines.
     *
     * @param machines all machines that the cloud lists, or null after a failed call
     * @param requestSentMicros time at which the list was requested
     * @param nowMicros current time
     */
    void machinesListed(List<ListedMachine> machines, long requestSentMicros, long nowMicros);
}
