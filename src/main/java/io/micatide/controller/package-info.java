/** Actors on the event loop, each owning its state and spoken to by messages, and the wiring of a controller. */
package io.micatide.controller;
