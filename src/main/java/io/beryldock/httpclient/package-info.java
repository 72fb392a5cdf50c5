/** HTTP clients that send each request at most once and change nothing on the way. */
package io.beryldock.httpclient;
