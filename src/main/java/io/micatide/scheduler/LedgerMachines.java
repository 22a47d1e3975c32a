package io.micatide.scheduler;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which machines a job's ledger names. No name is ever dropped to make a ledger fit, because a failover relies on them:
 * a job uses no more machines than its ledger can name.
 */
final class LedgerMachines {
    private final LedgerFormat format;

    LedgerMachines(LedgerFormat format) {
        this.format = format;
    }

    /** Machines that the ledger has to name whatever else it holds. The set is the caller's. */
    Set<String> requiredMachines(Job job) {
        Set<String> machines = new HashSet<>(job.machinesToRecord);
        machines.addAll(job.unreconciledMachines);
        machines.addAll(job.liveMachines.elementSet());
        return machines;
    }

    /** Whether the ledger names the machine or has room for its name, so that the job may be placed there. */
    boolean canName(Job job, Machine machine, long nowMicros) {
        if (job.ledgerMachines.contains(machine.name) || job.machinesToRecord.contains(machine.name)) {
            return true;
        }
        if (nowMicros < job.ledgerFullUntilMicros) {
            return false;
        }
        int bytesEach = format.maxBytesOf(machine.name);
        int maxBytes = format.maxNameBytes() - bytesEach;
        int maxMachines = job.machinesToRecord.size()
                + job.unreconciledMachines.size()
                + job.liveMachines.elementSet().size();
        if (maxMachines * bytesEach <= maxBytes) {
            return true;
        }
        // Exactly, once per plan; what is added meanwhile is counted as if it stood alone.
        if (job.ledgerNameBytesMicros != nowMicros) {
            job.ledgerNameBytesMicros = nowMicros;
            job.ledgerNameBytes = format.encodedBytes(requiredMachines(job)) - bytesEach * job.machinesToRecord.size();
        }
        return job.ledgerNameBytes + bytesEach * job.machinesToRecord.size() <= maxBytes;
    }

    /** Whether a job with waiting tasks is on as many machines as its ledger can name. */
    boolean isFull(Job job) {
        return job.pendingCount() > 0 && format.isFull(format.encodedBytes(requiredMachines(job)));
    }

    /** Adds candidates to the machines, in their order, until the next one has no room. */
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
