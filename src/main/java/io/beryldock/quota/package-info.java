/**
 * How many requests of an organisation may run, over all nodes together: parts of its quota are handed out where its
 * requests come.
 */
package io.beryldock.quota;
