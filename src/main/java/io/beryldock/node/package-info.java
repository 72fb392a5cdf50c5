/** Assembles a node from its components, starts it and stops it. */
package io.beryldock.node;
