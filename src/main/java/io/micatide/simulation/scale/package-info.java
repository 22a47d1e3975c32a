/**
 * The scale run: real controllers as processes beside many hollow workers, users, state service and cloud in this process, over sockets on
 * loopback. Owns the load, what is measured and the processes; speaks to controllers through the protocol only. The service itself loads
 * nothing of it.
 */
package io.micatide.simulation.scale;
