package io.beryldock.platform;

import java.net.InetSocketAddress;

/**
 * One start of the target in this VM. Immutable.
 *
 * @param id identifier of the start; a target normally uses a new one for each start
 */
record LocalTarget(String id, InetSocketAddress address) {}
