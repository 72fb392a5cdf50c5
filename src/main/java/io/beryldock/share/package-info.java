/** How what is scarce is divided among those who compete for it. Pure decisions, without state or time. */
package io.beryldock.share;
