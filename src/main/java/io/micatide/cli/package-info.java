/** The command line: one class per command, each of which parses its arguments and delegates. */
package io.micatide.cli;
