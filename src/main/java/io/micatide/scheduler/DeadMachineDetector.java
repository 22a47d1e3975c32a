package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.JobKind;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Marks machines for deletion that fell silent, hang or never came up. Invariant: none is marked while it may be the leader
 * that is cut off.
 */
final class DeadMachineDetector {
    /** Of a type that is not known. */
    private static final long DEFAULT_BOOT_MICROS = 60 * Micros.SECOND;

    private static final int BOOT_TIMEOUT_FACTOR = 4;
    private static final long BOOT_TIMEOUT_MARGIN_MICROS = 20 * Micros.SECOND;
    /** Machines that have reported are dead after so many times their lease. */
    private static final int DEAD_AFTER_LEASES = 4;
    /** A zone is reachable if at least one in so many of its machines has reported just now. */
    private static final int REACHABLE_ZONE_DIVISOR = 2;
    /** One unresponsive machine in so many may have hung by itself. */
    private static final int FEW_UNRESPONSIVE_DIVISOR = 20;

    private final Settings settings;
    private final Fleet fleet;

    /** What one look at all machines found. */
    private static final class Survey {
        int reported;
        int silent;
        int neverReported;
        final List<Machine> dead = new ArrayList<>();
        /** Those that miss heartbeats and may be alive; a machine may stand here twice and counts as two then. */
        final List<Machine> unresponsive = new ArrayList<>();

        /**
         * Nearly all silent at once: it is the leader that is cut off, and the machines may be fine. That holds for a new
         * leader too that no worker has reached yet: one once returned all 334 machines 15 s after its claim.
         */
        boolean isLeaderDisconnected() {
            int withoutContact = silent + neverReported;
            return withoutContact * 2 > reported + neverReported && withoutContact > 2;
        }

        boolean areFewUnresponsive() {
            return unresponsive.size() <= Math.max(1, reported / FEW_UNRESPONSIVE_DIVISOR);
        }
    }

    DeadMachineDetector(Settings settings, Fleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /**
     * Marks dead and hung machines for deletion.
     *
     * @param termStartMicros when this leader's term began: before that it heard of nothing
     */
    void markDeadMachines(long nowMicros, long termStartMicros) {
        Survey survey = new Survey();
        for (Machine machine : fleet.machines()) {
            examine(machine, survey, nowMicros, termStartMicros);
        }
        if (survey.isLeaderDisconnected()) {
            return;
        }
        for (Machine machine : survey.dead) {
            machine.deletionRequested = true;
        }
        markHungMachines(survey, nowMicros);
    }

    private void examine(Machine machine, Survey survey, long nowMicros, long termStartMicros) {
        if (missesFirstHeartbeatOfTerm(machine, nowMicros, termStartMicros)) {
            survey.unresponsive.add(machine);
        }
        if (machine.lastHeartbeatMicros >= 0) {
            examineReported(machine, survey, nowMicros);
        } else if (machine.bootStartedMicros >= 0) {
            if (nowMicros - machine.bootStartedMicros > bootTimeoutMicros(machine)) {
                survey.dead.add(machine);
            }
        } else if (nowMicros - Math.max(termStartMicros, machine.knownSinceMicros) > firstHeartbeatTimeoutMicros()) {
            survey.neverReported++;
            survey.dead.add(machine);
        }
    }

    /** A ledger names it, and it has not found the new leader. */
    private boolean missesFirstHeartbeatOfTerm(Machine machine, long nowMicros, long termStartMicros) {
        long lastContactMicros = Math.max(termStartMicros, machine.lastHeartbeatMicros);
        return machine.isAwaitedAfterFailover
                && !machine.deletionRequested
                && nowMicros - lastContactMicros > unresponsiveAfterMicros() + Micros.SECOND;
    }

    private void examineReported(Machine machine, Survey survey, long nowMicros) {
        long silentMicros = nowMicros - machine.lastHeartbeatMicros;
        survey.reported++;
        if (machine.isReconciled && !machine.deletionRequested && silentMicros > unresponsiveAfterMicros()) {
            survey.unresponsive.add(machine);
        }
        if (silentMicros > settings.workerLeaseExpiryMicros()) {
            survey.silent++;
            if (!machine.isReconciled || silentMicros > DEAD_AFTER_LEASES * settings.workerLeaseExpiryMicros()) {
                survey.dead.add(machine);
            }
        }
    }

    private long bootTimeoutMicros(Machine machine) {
        MachineType type = machine.type == null ? null : fleet.machineTypes().get(machine.type);
        long bootMicros = type == null ? DEFAULT_BOOT_MICROS : type.bootMicros();
        return BOOT_TIMEOUT_FACTOR * bootMicros + BOOT_TIMEOUT_MARGIN_MICROS;
    }

    private long firstHeartbeatTimeoutMicros() {
        return settings.workerLeaseExpiryMicros() + 2 * settings.heartbeatIntervalMicros();
    }

    private long unresponsiveAfterMicros() {
        return 4 * Micros.SECOND + 2 * settings.heartbeatIntervalMicros();
    }

    /**
     * One machine alone that says nothing has hung or lost its network, and most likely loses its tasks: once its deletion is
     * answered they may start elsewhere, some seconds before its lease is certainly over. The same holds for one that a
     * ledger names and that has not found a new leader while all others have.
     */
    private void markHungMachines(Survey survey, long nowMicros) {
        boolean areFew = survey.areFewUnresponsive();
        Set<String> reachableZones = areFew ? Set.of() : reachableZones(nowMicros);
        for (Machine machine : survey.unresponsive) {
            boolean isLeaderReachable = areFew || (machine.zone != null && reachableZones.contains(machine.zone));
            // Not for tasks of arrays alone: a machine that hangs is there again before another one has booted.
            if (isLeaderReachable && (machine.isAwaitedAfterFailover || hasReplica(machine))) {
                machine.deletionRequested = true;
            }
        }
    }

    /**
     * Zones of which most machines have reported just now: what is silent there is not cut off with its zone, nor is the
     * leader from it. A tenth of a fleet that died at once was neither one machine nor most of them, and its tasks waited
     * until the lease of each was certainly over: 17.8 s, and 24 s after a failover, while all jobs that it held up waited
     * with processors free around them.
     */
    private Set<String> reachableZones(long nowMicros) {
        Multiset<String> known = HashMultiset.create();
        Multiset<String> reporting = HashMultiset.create();
        for (Machine machine : fleet.machines()) {
            boolean hasReported = machine.lastHeartbeatMicros >= 0;
            if (machine.zone != null && !machine.deletionRequested && (hasReported || machine.isAwaitedAfterFailover)) {
                known.add(machine.zone);
                if (hasReported && nowMicros - machine.lastHeartbeatMicros < unresponsiveAfterMicros() / 2) {
                    reporting.add(machine.zone);
                }
            }
        }
        Set<String> reachable = new HashSet<>();
        for (String zone : known.elementSet()) {
            if (reporting.count(zone) * REACHABLE_ZONE_DIVISOR >= known.count(zone)) {
                reachable.add(zone);
            }
        }
        return reachable;
    }

    private static boolean hasReplica(Machine machine) {
        for (Placement placement : machine.placements) {
            if (placement.job.spec.kind() == JobKind.SERVICE) {
                return true;
            }
        }
        return false;
    }
}
