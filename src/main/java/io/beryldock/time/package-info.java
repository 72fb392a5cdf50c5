/** Injectable clocks and the timer service that schedules the tasks of a process. */
package io.beryldock.time;
