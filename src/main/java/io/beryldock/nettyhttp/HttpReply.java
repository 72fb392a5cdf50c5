package io.beryldock.nettyhttp;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;

/** A complete response. Immutable. */
public record HttpReply(int status, Headers headers, ByteString body) {}
