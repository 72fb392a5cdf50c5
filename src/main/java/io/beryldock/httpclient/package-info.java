/** HTTP clients that send each request at most once and don't alter requests or responses. */
package io.beryldock.httpclient;
