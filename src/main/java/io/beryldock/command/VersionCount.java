package io.beryldock.command;

import io.beryldock.call.DataCentre;

/** How many nodes of a data centre have that version of the configuration in force. Immutable. */
public record VersionCount(DataCentre dataCentre, long version, int nodes) {}
