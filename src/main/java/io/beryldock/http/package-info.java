/** HTTP towards callers, the target and operators: Jersey resources, the server and the client to the target. */
package io.beryldock.http;
