/**
 * Codecs of all messages and stored values, which are JSON, and readers of the TOML settings. This is the only package that knows the field
 * names of the wire and of stored values; all others use the terms of {@code model} and {@code store}.
 */
package io.micatide.protocol;
