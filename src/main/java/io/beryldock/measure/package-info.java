/**
 * Measurements on real nodes with stand-in targets: scenarios, load, checks of every answer, and the figures.
 *
 * <p>Scenarios send every request over loopback sockets; the membership is also measured over a fake network, since 700
 * members do not fit on one machine as processes.
 */
package io.beryldock.measure;
