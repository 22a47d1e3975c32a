package io.micatide.model;

import java.util.List;
import java.util.Map;

/** Builds settings for tests: those of a small deployment, but for what a test names. */
public final class SettingsBuilder {
    private String label = "c0";
    private String zone = "a";
    private String bind = "127.0.0.1:1";
    private String peerBind = "127.0.0.1:2";
    private List<Settings.Sibling> siblings = List.of();
    private String cloud = "127.0.0.1:3";
    private String state = "127.0.0.1:4";
    private List<String> zones = List.of("a", "b");
    private long clockOffMicros = 0;
    private Map<String, Team> teams = Map.of("blue", new Team("blue", 0, 0, 0, 0));
    private List<Settings.Objective> objectives = List.of();
    private long heartbeatIntervalMicros = 800 * Micros.MILLISECOND;
    private long workerLeaseMicros = 10 * Micros.SECOND;
    private long gangWaitMicros = 30 * Micros.SECOND;
    private long gangPeerMicros = 5 * Micros.SECOND;
    private long cancelMicros = 30 * Micros.SECOND;
    private double stateRate = 80;
    private double writeRate = 30;
    private int valueBytes = 16 * 1024;
    private int writableBytes = 16 * 1024;
    private int transactionOps = 16;
    private double cloudRate = 8;
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

    public SettingsBuilder siblings(List<Settings.Sibling> value) {
        siblings = value;
        return this;
    }

    public SettingsBuilder cloud(String value) {
        cloud = value;
        return this;
    }

    public SettingsBuilder state(String value) {
        state = value;
        return this;
    }

    public SettingsBuilder zones(List<String> value) {
        zones = value;
        return this;
    }

    public SettingsBuilder clockOffMicros(long value) {
        clockOffMicros = value;
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

    public SettingsBuilder gangWaitMicros(long value) {
        gangWaitMicros = value;
        return this;
    }

    public SettingsBuilder gangPeerMicros(long value) {
        gangPeerMicros = value;
        return this;
    }

    public SettingsBuilder cancelMicros(long value) {
        cancelMicros = value;
        return this;
    }

    public SettingsBuilder stateRate(double value) {
        stateRate = value;
        return this;
    }

    public SettingsBuilder writeRate(double value) {
        writeRate = value;
        return this;
    }

    public SettingsBuilder valueBytes(int value) {
        valueBytes = value;
        return this;
    }

    public SettingsBuilder writableBytes(int value) {
        writableBytes = value;
        return this;
    }

    public SettingsBuilder transactionOps(int value) {
        transactionOps = value;
        return this;
    }

    public SettingsBuilder cloudRate(double value) {
        cloudRate = value;
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
                siblings,
                cloud,
                state,
                zones,
                clockOffMicros,
                teams,
                objectives,
                heartbeatIntervalMicros,
                workerLeaseMicros,
                gangWaitMicros,
                gangPeerMicros,
                cancelMicros,
                stateRate,
                writeRate,
                valueBytes,
                writableBytes,
                transactionOps,
                cloudRate,
                listLagMicros,
                cores,
                memoryMb,
                maxConnections);
    }
}
