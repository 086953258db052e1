/**
 * The command line: the launcher and what the subcommands share.
 */
package org.acaciacourse.daemon.cli;
