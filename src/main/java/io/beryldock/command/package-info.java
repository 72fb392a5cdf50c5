/**
 * The operators' query and command language: its grammar, statements, results, and how a statement is carried out over
 * the nodes of a data centre or of all.
 */
package io.beryldock.command;
