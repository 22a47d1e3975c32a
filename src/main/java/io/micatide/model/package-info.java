/**
 * Immutable values of the domain: job descriptions, resources, teams, machine types, heartbeats, task states, commands, settings
 * and time. Depends on no other package of micatide.
 */
package io.micatide.model;
