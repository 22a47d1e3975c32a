package io.micatide.model;

/** A command to a worker. */
public sealed interface Command {
    String job();

    int index();

    long attempt();

    record Start(String job, int index, long attempt) implements Command {}

    record Stop(String job, int index, long attempt, long graceMicros) implements Command {}

    record Forget(String job, int index, long attempt) implements Command {}
}
