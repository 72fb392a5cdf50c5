/** Forwarding of a request: from its entry node through attempts at targets to its typed result. */
package io.beryldock.forwarding;
