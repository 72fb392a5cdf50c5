/**
 * The operators' configuration: one versioned document of routes, priority classes, retry budgets, service limits and
 * drains; how changes are written to the platform store, and how they are distributed to every node.
 */
package io.beryldock.configuration;
