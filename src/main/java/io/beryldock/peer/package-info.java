/** The protocol between nodes: topics with requests, replies and one-way messages over one connection a pair. */
package io.beryldock.peer;
