package io.beryldock.configuration;

import com.google.protobuf.ByteString;

/** Reads a document that operators keep outside the product. */
@FunctionalInterface
public interface DocumentDecoder {

    /** The document's settings at its version; fails when it can't be read. */
    Configuration decode(ByteString document) throws ConfigurationException;
}
