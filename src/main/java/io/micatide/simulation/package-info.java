/**
 * A simulated cluster: state service, cloud and workers written to the published protocol, over loopback sockets or in virtual time,
 * where a seed decides every delay, loss and fault. Speaks to controllers by the protocol alone; a controller knows nothing of this
 * package and loads none of its classes.
 */
package io.micatide.simulation;
