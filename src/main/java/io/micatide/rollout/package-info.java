/**
 * Rolling out changes of what is stored (docs/rollout.md): which changes there are and how far each has come, which controllers are there and
 * what they can do, and the next step. Pure: {@code node} reads and writes for it. Knows the rows of {@code core} and nothing of sockets,
 * of jobs or of machines.
 */
package io.micatide.rollout;
