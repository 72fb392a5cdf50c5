/** Organisations: their keys, their rank, and how many requests a second they may make over all nodes together. */
package io.beryldock.organisation;
