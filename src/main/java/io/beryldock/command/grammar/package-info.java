/** The parser generated from src/main/antlr/Operator.g4 by its generate script; never edited by hand. */
package io.beryldock.command.grammar;
