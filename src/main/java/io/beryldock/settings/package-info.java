/** Settings of a process: read from a JSON file, checked before anything starts. */
package io.beryldock.settings;
