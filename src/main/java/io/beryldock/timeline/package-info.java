/** The time line: typed events that nodes record, merged into one causal order. */
package io.beryldock.timeline;
