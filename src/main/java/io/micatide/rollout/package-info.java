/**
 * Changes the format of the stored state while controllers of several versions serve (docs/rollout.md): the features with their stages,
 * the registered controllers with their capabilities, and the next transition. Performs no input or output itself; the package
 * {@code controller} reads and writes the records. Depends on {@code model} and {@code store} only, without knowledge of sockets, jobs or
 * machines.
 */
package io.micatide.rollout;
