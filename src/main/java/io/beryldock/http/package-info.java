/** HTTP interface to callers, the target and operators: Jersey resources, the server and the target's client. */
package io.beryldock.http;
