/**
 * Operators' configuration: one versioned document of routes, priority classes, retry budgets, service limits and
 * drains, how it is changed in the platform store and how it reaches every node.
 */
package io.beryldock.configuration;
