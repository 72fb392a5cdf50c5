/** Logs of a process: JSON lines on standard error. */
package io.beryldock.logging;
