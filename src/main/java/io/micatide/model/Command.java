package io.micatide.model;

/** A command to a worker. */
public sealed interface Command {
    String job();

    int taskIndex();

    long attempt();

    record Start(String job, int taskIndex, long attempt) implements Command {}

    record Stop(String job, int taskIndex, long attempt, long graceMicros) implements Command {}

    record Reap(String job, int taskIndex, long attempt) implements Command {}
}
