/**
 * The actors of a controller process and their wiring. Each actor owns its state, runs on the event loop and is spoken to by messages
 * only: {@code LeaderActor} (election and the leader's term), {@code UsersActor} (requests of users and the cache of job rows),
 * {@code StandbyActor} (the replica that a standby keeps), {@code ArchiverActor} and {@code ArchiveReader} (the archive),
 * {@code FailoverLoader} (what a new leader reads). Decisions are delegated to the packages without input and output; requests go
 * out through {@code net}, and messages are encoded by {@code protocol}.
 */
package io.micatide.controller;
