package io.beryldock.admission;

import io.beryldock.call.ServiceName;

/** The requests of one rank to one service. Immutable. */
record ServiceClass(ServiceName service, int rank) {}
