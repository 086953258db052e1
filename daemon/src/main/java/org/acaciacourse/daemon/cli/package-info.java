/**
 * The command line: launcher and subcommands.
 */
package org.acaciacourse.daemon.cli;
