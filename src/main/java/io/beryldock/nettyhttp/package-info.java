/**
 * HTTP/1.1 of the data path by Netty: a listener that answers pipelined requests in their order, and a client whose
 * exchanges tell a request that never left from one that may have run.
 */
package io.beryldock.nettyhttp;
