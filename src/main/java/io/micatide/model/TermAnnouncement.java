package io.micatide.model;

/**
 * A machine that a new leader does not wait for: told the new token it answers with its report, which confirms it.
 *
 * @param address where its worker takes commands
 * @param incarnation of its worker, as far as is known; another one is refused and tells its own
 */
public record TermAnnouncement(String machine, String address, long incarnation) {}
