/** Rules that divide a scarce resource among competing claims. Pure functions, without state or time. */
package io.beryldock.share;
