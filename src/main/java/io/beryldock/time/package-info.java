/** Injected time: a monotonic ticker and one timer service that parts subscribe to. */
package io.beryldock.time;
