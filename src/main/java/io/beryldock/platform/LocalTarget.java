package io.beryldock.platform;

import java.net.InetSocketAddress;

/** One start of the target in this VM. Immutable; the id is new with each start. */
record LocalTarget(String id, InetSocketAddress address) {}
