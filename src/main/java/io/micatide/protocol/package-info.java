/**
 * Codecs of everything that is sent or stored as JSON, and readers of the TOML settings. The only package that knows the field names
 * of the wire and of stored values; all others use the terms of {@code model} and {@code store}.
 */
package io.micatide.protocol;
