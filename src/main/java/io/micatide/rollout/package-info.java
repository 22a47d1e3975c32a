/**
 * Changes of the stored format while several versions serve (docs/rollout.md): the features, how far each has come, which controllers
 * are registered with which capabilities, and the next step. Without input or output; {@code controller} reads and writes for it.
 * Depends on {@code model} and {@code store}; must not know sockets, jobs or machines.
 */
package io.micatide.rollout;
