package io.micatide.model;

/**
 * A worker that a new leader tells of its fencing token instead of waiting for the next heartbeat; it answers with a heartbeat, which
 * confirms what runs there.
 *
 * @param machine the name of the worker's machine
 * @param address host and port at which the worker takes commands
 * @param incarnation of the worker as far as it is known; another incarnation refuses the announcement and tells its own
 */
public record TermAnnouncement(String machine, String address, long incarnation) {}
