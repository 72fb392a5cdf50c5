/**
 * The platform's key-value service as a port, with the adapters to it and an in-memory fake whose faults can be
 * switched on.
 */
package io.beryldock.store;
