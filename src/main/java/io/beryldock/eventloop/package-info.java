/** The event loop threads of a process and the timer that runs on them. */
package io.beryldock.eventloop;
