/**
 * Small stand-ins of what surrounds the system, for tests, the demonstration and measurements: the platform store's
 * server and targets, each with faults that can be switched while they run.
 */
package io.beryldock.standin;
