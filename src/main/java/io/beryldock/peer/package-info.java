/** The protocol between nodes: requests, replies and one-way messages, by topic, over multiplexed connections. */
package io.beryldock.peer;
