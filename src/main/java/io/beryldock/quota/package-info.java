/**
 * Limits the number of requests of an organisation over all nodes together: parts of its quota are granted to the nodes
 * that receive its requests.
 */
package io.beryldock.quota;
