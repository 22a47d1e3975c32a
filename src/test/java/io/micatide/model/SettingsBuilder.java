package io.micatide.model;

import java.util.List;
import java.util.Map;

/** Builds settings for tests, with those of a small deployment as defaults. */
public final class SettingsBuilder {
    private String label = "c0";
    private String zone = "a";
    private String bind = "127.0.0.1:1";
    private String peerBind = "127.0.0.1:2";
    private List<Settings.Peer> peers = List.of();
    private String cloudEndpoint = "127.0.0.1:3";
    private String storeEndpoint = "127.0.0.1:4";
    private List<String> zones = List.of("a", "b");
    private long wallClockErrorMicros = 0;
    private Map<String, Team> teams = Map.of("blue", new Team("blue", 0, 0, 0, 0));
    private List<Settings.Objective> objectives = List.of();
    private long heartbeatIntervalMicros = 800 * Micros.MILLISECOND;
    private long workerLeaseMicros = 10 * Micros.SECOND;
    private long gangStartTimeoutMicros = 30 * Micros.SECOND;
    private long gangPeerTimeoutMicros = 5 * Micros.SECOND;
    private long cancellationLimitMicros = 30 * Micros.SECOND;
    private double storeRequestsPerSecond = 80;
    private double storeWritesPerSecond = 30;
    private int maxValueBytes = 16 * 1024;
    private int maxWritableValueBytes = 16 * 1024;
    private int maxTransactionWrites = 16;
    private double cloudRequestsPerSecond = 8;
    private long listLagMicros = 5 * Micros.SECOND;
    private double cores = 0.4;
    private double memoryMb = 150;
    private int maxConnections = 700;

    public SettingsBuilder label(String value) {
        label = value;
        return this;
    }

    public SettingsBuilder zone(String value) {
        zone = value;
        return this;
    }

    public SettingsBuilder bind(String value) {
        bind = value;
        return this;
    }

    public SettingsBuilder peerBind(String value) {
        peerBind = value;
        return this;
    }

    public SettingsBuilder peers(List<Settings.Peer> value) {
        peers = value;
        return this;
    }

    public SettingsBuilder cloudEndpoint(String value) {
        cloudEndpoint = value;
        return this;
    }

    public SettingsBuilder storeEndpoint(String value) {
        storeEndpoint = value;
        return this;
    }

    public SettingsBuilder zones(List<String> value) {
        zones = value;
        return this;
    }

    public SettingsBuilder wallClockErrorMicros(long value) {
        wallClockErrorMicros = value;
        return this;
    }

    public SettingsBuilder teams(Map<String, Team> value) {
        teams = value;
        return this;
    }

    public SettingsBuilder objectives(List<Settings.Objective> value) {
        objectives = value;
        return this;
    }

    public SettingsBuilder heartbeatIntervalMicros(long value) {
        heartbeatIntervalMicros = value;
        return this;
    }

    public SettingsBuilder workerLeaseMicros(long value) {
        workerLeaseMicros = value;
        return this;
    }

    public SettingsBuilder gangStartTimeoutMicros(long value) {
        gangStartTimeoutMicros = value;
        return this;
    }

    public SettingsBuilder gangPeerTimeoutMicros(long value) {
        gangPeerTimeoutMicros = value;
        return this;
    }

    public SettingsBuilder cancellationLimitMicros(long value) {
        cancellationLimitMicros = value;
        return this;
    }

    public SettingsBuilder storeRequestsPerSecond(double value) {
        storeRequestsPerSecond = value;
        return this;
    }

    public SettingsBuilder storeWritesPerSecond(double value) {
        storeWritesPerSecond = value;
        return this;
    }

    public SettingsBuilder maxValueBytes(int value) {
        maxValueBytes = value;
        return this;
    }

    public SettingsBuilder maxWritableValueBytes(int value) {
        maxWritableValueBytes = value;
        return this;
    }

    public SettingsBuilder maxTransactionWrites(int value) {
        maxTransactionWrites = value;
        return this;
    }

    public SettingsBuilder cloudRequestsPerSecond(double value) {
        cloudRequestsPerSecond = value;
        return this;
    }

    public SettingsBuilder listLagMicros(long value) {
        listLagMicros = value;
        return this;
    }

    public SettingsBuilder cores(double value) {
        cores = value;
        return this;
    }

    public SettingsBuilder memoryMb(double value) {
        memoryMb = value;
        return this;
    }

    public SettingsBuilder maxConnections(int value) {
        maxConnections = value;
        return this;
    }

    public Settings build() {
        return new Settings(
                label,
                zone,
                bind,
                peerBind,
                peers,
                cloudEndpoint,
                storeEndpoint,
                zones,
                wallClockErrorMicros,
                teams,
                objectives,
                heartbeatIntervalMicros,
                workerLeaseMicros,
                gangStartTimeoutMicros,
                gangPeerTimeoutMicros,
                cancellationLimitMicros,
                storeRequestsPerSecond,
                storeWritesPerSecond,
                maxValueBytes,
                maxWritableValueBytes,
                maxTransactionWrites,
                cloudRequestsPerSecond,
                listLagMicros,
                cores,
                memoryMb,
                maxConnections);
    }
}
