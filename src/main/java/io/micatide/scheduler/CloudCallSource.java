package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import java.util.List;

/**
 * Gives out the calls of the cloud that a leader makes, and is told of their outcomes.
 *
 * <p>Calls are not fenced, so they are given out only while the lease is certainly held. Called by the leader's actor alone. Times are microseconds of the
 * leader's steady clock.
 */
public interface CloudCallSource {
    /**
     * The cloud has answered which machine types it offers.
     *
     * @param types all of them
     * @param nowMicros the time
     */
    void machineTypesChanged(List<MachineType> types, long nowMicros);

    /**
     * The calls of the cloud that are due.
     *
     * @param nowMicros the time
     * @return calls to send now, each to be followed by its outcome
     */
    List<CloudCall> cloudCalls(long nowMicros);

    /**
     * A provisioning request was answered with machines, as many as were asked for or fewer.
     *
     * @param request its name
     * @param names of the machines
     * @param nowMicros the time
     */
    void machinesRented(String request, List<String> names, long nowMicros);

    /**
     * A provisioning request was refused for want of machines.
     *
     * @param request its name
     * @param nowMicros the time
     */
    void noCapacity(String request, long nowMicros);

    /**
     * A provisioning request has no answer; a later list of machines shows what became of it.
     *
     * @param request its name
     * @param nowMicros the time
     */
    void provisioningUnanswered(String request, long nowMicros);

    /**
     * A provisioning request was refused without being executed; it may be sent again under the same name.
     *
     * @param request its name
     */
    void provisioningNotExecuted(String request);

    /**
     * The deletion of machines was answered: nothing can be on them any more.
     *
     * @param names of the machines
     * @param nowMicros the time
     */
    void machinesDeleted(List<String> names, long nowMicros);

    /**
     * The cloud has listed the machines.
     *
     * @param machines all of them, null after a call that failed
     * @param askedMicros when the list was asked for
     * @param nowMicros the time
     */
    void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros);
}
