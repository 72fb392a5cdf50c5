/**
 * A fault soak: real node processes under faults from outside, with the promises to callers checked while it runs.
 *
 * <p>Checks and plans are pure; {@link io.beryldock.soak.Surroundings} is what the platform brings.
 */
package io.beryldock.soak;
