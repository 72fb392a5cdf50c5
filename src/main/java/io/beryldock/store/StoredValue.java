package io.beryldock.store;

import com.google.protobuf.ByteString;

/** A value and the version that the store gave it, above 0 and rising with each write of the key. Immutable. */
public record StoredValue(long version, ByteString value) {}
