/** The demonstration: a small deployment in one process, a slow spell, and what became of every request. */
package io.beryldock.demo;
