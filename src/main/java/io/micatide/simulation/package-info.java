/**
 * Stand-ins of the state service, the cloud and the workers, written to the published protocol, for rehearsals on one machine: over
 * loopback sockets, or in virtual time where a seed decides every delay and loss. Speak to controllers by the protocol alone; a
 * controller knows nothing of them, and loads nothing of this package.
 */
package io.micatide.simulation;
