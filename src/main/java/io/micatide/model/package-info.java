/**
 * Immutable values of the domain: job specifications, resources, quotas, machine types, heartbeats and task states, commands, settings
 * and time. Depends on nothing else of micatide.
 */
package io.micatide.model;
