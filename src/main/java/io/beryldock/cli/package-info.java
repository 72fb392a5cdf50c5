/** The command line: one class a subcommand, parsed by args4j. */
package io.beryldock.cli;
