package io.micatide.model;

/**
 * The recipient of an announcement with which a new leader sends its fencing token to a worker instead of waiting for the next heartbeat.
 * The worker answers with a heartbeat, which confirms the tasks on the machine.
 *
 * @param machine name of the worker's machine
 * @param address host and port at which the worker accepts commands
 * @param incarnation last known incarnation of the worker; a worker with another incarnation refuses the announcement and returns its own
 */
public record TermAnnouncement(String machine, String address, long incarnation) {}
