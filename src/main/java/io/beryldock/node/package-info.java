/** Assembles a node from its parts and starts and stops it. */
package io.beryldock.node;
