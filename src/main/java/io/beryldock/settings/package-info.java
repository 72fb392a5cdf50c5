/** Settings of a process, which are read from a JSON file and validated before anything starts. */
package io.beryldock.settings;
