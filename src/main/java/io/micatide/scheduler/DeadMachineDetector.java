package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Marks machines for deletion that stopped sending heartbeats, hang or never completed their boot.
 *
 * <p>Invariant: no machine is marked while the leader itself may be the one that lost its connection.
 */
final class DeadMachineDetector {
    /** Boot time of machines of unknown type. */
    private static final long DEFAULT_BOOT_MICROS = 60 * Micros.SECOND;

    private static final int BOOT_TIMEOUT_FACTOR = 4;
    private static final long BOOT_TIMEOUT_MARGIN_MICROS = 20 * Micros.SECOND;
    /** Number of lease durations without a heartbeat after which a reconciled machine counts as dead. */
    private static final int DEAD_AFTER_LEASES = 4;
    /** A zone is reachable if at least one in this number of its known machines has sent a heartbeat recently. */
    private static final int REACHABLE_ZONE_DIVISOR = 2;
    /** Up to one in this number of machines may hang independently of the others; more unresponsive machines suggest a common cause. */
    private static final int FEW_UNRESPONSIVE_DIVISOR = 20;

    private final Settings settings;
    private final Fleet fleet;

    /** Result of one examination of all machines. */
    private static final class Survey {
        /** Machines that have sent a heartbeat in this term. */
        int reportedCount;
        /** Those of them whose worker lease has certainly expired. */
        int silentCount;
        /** Machines without a heartbeat and without a known boot whose time for the first heartbeat has passed. */
        int neverReportedCount;

        final List<Machine> dead = new ArrayList<>();
        /** Machines that miss heartbeats and may be alive. A machine may be listed twice and then counts twice. */
        final List<Machine> unresponsive = new ArrayList<>();

        /**
         * Returns whether more than half of the machines, and more than two, are silent at once: then the leader has lost its connection and the
         * machines may be healthy. This includes a new leader that no worker has reached yet; one returned all 334 machines 15 s after its claim.
         */
        boolean isLeaderDisconnected() {
            int withoutContact = silentCount + neverReportedCount;
            return withoutContact * 2 > reportedCount + neverReportedCount && withoutContact > 2;
        }

        boolean areFewUnresponsive() {
            return unresponsive.size() <= Math.max(1, reportedCount / FEW_UNRESPONSIVE_DIVISOR);
        }
    }

    DeadMachineDetector(Settings settings, Fleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /**
     * Marks dead and hung machines for deletion.
     *
     * @param termStartMicros start of this leader's term, before which it received no heartbeats
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
            survey.neverReportedCount++;
            survey.dead.add(machine);
        }
    }

    /** Returns whether a machine that a ledger names has not found the new leader in time. */
    private boolean missesFirstHeartbeatOfTerm(Machine machine, long nowMicros, long termStartMicros) {
        long lastContactMicros = Math.max(termStartMicros, machine.lastHeartbeatMicros);
        return machine.isAwaitedAfterFailover
                && !machine.deletionRequested
                && nowMicros - lastContactMicros > unresponsiveAfterMicros() + Micros.SECOND;
    }

    private void examineReported(Machine machine, Survey survey, long nowMicros) {
        long silentMicros = nowMicros - machine.lastHeartbeatMicros;
        survey.reportedCount++;
        if (machine.isReconciled && !machine.deletionRequested && silentMicros > unresponsiveAfterMicros()) {
            survey.unresponsive.add(machine);
        }
        if (silentMicros > settings.workerLeaseExpiryMicros()) {
            survey.silentCount++;
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
     * Marks unresponsive machines while the leader is reachable. A single unresponsive machine hangs or has lost its network, and most likely loses
     * its tasks: once its deletion is confirmed, the tasks may start on other machines some seconds before its lease has certainly expired. The same
     * holds for a machine that a ledger names and that has not found a new leader while all others have.
     */
    private void markHungMachines(Survey survey, long nowMicros) {
        boolean areFew = survey.areFewUnresponsive();
        Set<String> reachableZones = areFew ? Set.of() : reachableZones(nowMicros);
        for (Machine machine : survey.unresponsive) {
            boolean isLeaderReachable = areFew || (machine.zone() != null && reachableZones.contains(machine.zone()));
            // Array tasks alone don't justify a deletion: a machine that hangs recovers before a replacement
            // has booted.
            if (isLeaderReachable && (machine.isAwaitedAfterFailover || hasReplica(machine))) {
                machine.deletionRequested = true;
            }
        }
    }

    /**
     * Returns the zones in which at least half of the known machines have sent a heartbeat recently. Neither the zone nor the leader's connection to
     * it has failed then, so the unresponsive machines in it have. Without this rule a tenth of a fleet that failed at once was neither a single
     * machine nor most of the fleet, and its tasks waited until the lease of each machine had certainly expired: 17.8 s, and 24 s after a failover.
     * All jobs that these tasks delayed waited as long, although CPUs on other machines were free.
     */
    private Set<String> reachableZones(long nowMicros) {
        Multiset<String> known = HashMultiset.create();
        Multiset<String> reporting = HashMultiset.create();
        for (Machine machine : fleet.machines()) {
            boolean hasReported = machine.lastHeartbeatMicros >= 0;
            if (machine.zone() != null
                    && !machine.deletionRequested
                    && (hasReported || machine.isAwaitedAfterFailover)) {
                known.add(machine.zone());
                if (hasReported && nowMicros - machine.lastHeartbeatMicros < unresponsiveAfterMicros() / 2) {
                    reporting.add(machine.zone());
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
        return machine.replicaCount() > 0;
    }
}
