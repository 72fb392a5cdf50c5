/** Measurements of the decisions on an injected clock: what they cost, and how soon they act. */
package io.beryldock.measure;
