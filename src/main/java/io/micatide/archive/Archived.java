package io.micatide.archive;

import io.micatide.store.Outcome;

/** A job in a segment. */
public record Archived(String id, Outcome outcome) {}
