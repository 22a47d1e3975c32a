package io.micatide.history;

import io.micatide.core.Outcome;

/** A job in a segment. */
public record Archived(String id, Outcome outcome) {}
