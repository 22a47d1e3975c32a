/**
 * The actors of a controller process and the code that creates and connects them. Each actor owns its state, runs on the event loop and is
 * reached only by messages: {@code LeaderActor} (leader election and the leader's term), {@code UsersActor} (requests of users and the
 * cache of job records), {@code StandbyActor} (the keyspace replicas of a standby), {@code ArchiverActor} and {@code ArchiveReader} (the
 * archive), {@code FailoverLoader} (what a new leader loads). Decisions are delegated to packages that perform no I/O; requests are
 * sent through the package {@code net}, and messages are encoded by the package {@code protocol}.
 */
package io.micatide.controller;
