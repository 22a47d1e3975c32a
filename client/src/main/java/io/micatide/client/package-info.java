/**
 * The official client of micatide: submits jobs, waits for their one final answer and cancels them, on top of the client that is
 * generated from the description. Owns retries, their budget, breakers and limits; speaks to controllers through {@link
 * io.micatide.client.Transport} alone. May not know the server's code.
 */
package io.micatide.client;
