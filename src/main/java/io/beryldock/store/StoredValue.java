package io.beryldock.store;

import com.google.protobuf.ByteString;

/** A value with its version, which is above 0 and rises with each write of the key. Immutable. */
public record StoredValue(long version, ByteString value) {}
