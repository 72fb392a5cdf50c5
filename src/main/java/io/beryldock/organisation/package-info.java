/** Organisations: their keys, their rank, and the requests per second that they may send over all nodes together. */
package io.beryldock.organisation;
