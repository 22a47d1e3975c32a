package io.micatide.simulation;

import java.nio.charset.StandardCharsets;

/**
 * What a job asks for beside its tasks.
 *
 * @param type the only machine type, null for any
 * @param zone the only zone, null for any
 */
public record JobConstraints(
        String team, String type, String zone, boolean singleZone, boolean spreadOverZones, boolean spotAllowed) {
    public static final JobConstraints NONE = new JobConstraints("blue", null, null, false, false, true);

    private static String quoted(String word) {
        return word == null ? "null" : "\"" + word + "\"";
    }

    /**
     * The job's body on the wire.
     *
     * @param form the wire's word
     * @param cpus of each task
     * @param seconds that a task runs, as its user has it
     */
    byte[] toJson(String id, String form, int tasks, double cpus, double seconds) {
        return ("{\"nameId\":\"" + id + "\",\"roster\":\"x\",\"crew\":\"" + team + "\",\"form\":\"" + form
                        + "\",\"rank\":\""
                        + (form.equals("daemon") ? "high" : "normal") + "\",\"legs\":" + tasks + ",\"cpus\":" + cpus
                        + ",\"cards\":0.0,\"memGb\":1.0,\"kit\":\"i\",\"sizeGb\":0.1,\"builds\":"
                        + (type == null ? "null" : "[" + quoted(type) + "]")
                        + ",\"ground\":" + quoted(zone) + ",\"samePlace\":" + singleZone + ",\"scatter\":"
                        + spreadOverZones
                        + ",\"loaners\":" + spotAllowed
                        + ",\"runtimeS\":" + seconds + ",\"halftimeS\":0.0,\"stowS\":0.0}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
