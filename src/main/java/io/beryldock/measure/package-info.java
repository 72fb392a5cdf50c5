/**
 * Measurements on real nodes with stand-in targets: scenarios, load, checks of every answer, and the figures.
 *
 * <p>Nothing here models a network or a cluster: all requests go over loopback sockets.
 */
package io.beryldock.measure;
