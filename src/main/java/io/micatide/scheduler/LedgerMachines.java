package io.micatide.scheduler;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which machines a job's ledger names.
 *
 * <p>Invariant: no required name is dropped to make a ledger fit, because a failover relies on it. Instead, a job uses no
 * more machines than its ledger can name.
 */
final class LedgerMachines {
    private final LedgerFormat format;

    LedgerMachines(LedgerFormat format) {
        this.format = format;
    }

    /** Returns the machines that the ledger must name, as a new set that the caller may change. */
    Set<String> requiredMachines(Job job) {
        Set<String> machines = new HashSet<>(job.machinesToRecord);
        machines.addAll(job.unreconciledMachines);
        machines.addAll(job.liveMachines.elementSet());
        return machines;
    }

    /** Returns whether the ledger names the machine or has space for its name, so that the job may be placed there. */
    boolean canName(Job job, Machine machine, long nowMicros) {
        if (job.ledgerMachines.contains(machine.name) || job.machinesToRecord.contains(machine.name)) {
            return true;
        }
        if (nowMicros < job.ledgerFullUntilMicros) {
            return false;
        }
        int bytesPerName = format.maxBytesOf(machine.name);
        int maxBytes = format.maxNameBytes() - bytesPerName;
        int maxMachines = job.machinesToRecord.size()
                + job.unreconciledMachines.size()
                + job.liveMachines.elementSet().size();
        if (maxMachines * bytesPerName <= maxBytes) {
            return true;
        }
        // The exact size is computed once per planning pass; names added meanwhile are counted with their upper bound.
        if (job.ledgerNameBytesMicros != nowMicros) {
            job.ledgerNameBytesMicros = nowMicros;
            job.ledgerNameBytes =
                    format.encodedBytes(requiredMachines(job)) - bytesPerName * job.machinesToRecord.size();
        }
        return job.ledgerNameBytes + bytesPerName * job.machinesToRecord.size() <= maxBytes;
    }

    /** Returns whether a job with pending tasks uses as many machines as its ledger can name. */
    boolean isFull(Job job) {
        return job.pendingCount() > 0 && format.isFull(format.encodedBytes(requiredMachines(job)));
    }

    /** Adds candidates to the machines, in the given order, until the next name does not fit into {@code maxBytes}. */
    void addCandidates(Set<String> machines, List<String> candidates, int maxBytes) {
        int bytes = format.encodedBytes(machines);
        for (String name : candidates) {
            if (!machines.contains(name)) {
                bytes += format.maxBytesOf(name);
                if (bytes > maxBytes) {
                    return;
                }
                machines.add(name);
            }
        }
    }
}
