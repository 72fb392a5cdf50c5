/** The time line: typed events of every node in one causal order. */
package io.beryldock.timeline;
