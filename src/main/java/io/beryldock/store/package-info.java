/**
 * Client interfaces of the platform's key-value service, their implementations, and an in-memory store that simulates
 * faults.
 */
package io.beryldock.store;
