/**
 * The decisions of micatide, without input or output: a message and the time go in, commands, writes and calls come
 * out. Nothing here reads a clock, a socket or a file; times are whole microseconds of a steady clock unless a name
 * says {@code wall}.
 */
package io.micatide.scheduler;
