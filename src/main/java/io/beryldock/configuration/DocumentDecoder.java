package io.beryldock.configuration;

import com.google.protobuf.ByteString;

/** Decodes a document that operators maintain outside the product. */
@FunctionalInterface
public interface DocumentDecoder {

    /** Returns the settings of the document at its version; throws if the document is unreadable. */
    Configuration decode(ByteString document) throws ConfigurationException;
}
