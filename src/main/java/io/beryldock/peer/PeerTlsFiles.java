package io.beryldock.peer;

import java.nio.file.Path;

/**
 * The PEM files for mutual TLS between nodes. Immutable.
 *
 * @param certificateFile certificate chain of this node, its own certificate first
 * @param keyFile private key of this node, in PKCS#8 format without a password
 * @param trustFile certificates of the authorities that a peer's certificate must chain to
 */
public record PeerTlsFiles(Path certificateFile, Path keyFile, Path trustFile) {}
