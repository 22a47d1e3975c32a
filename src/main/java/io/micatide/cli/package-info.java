/** The command line. */
package io.micatide.cli;
