/** What nodes know of each other's load: reports of gates, how old they are and how far they are believed. */
package io.beryldock.load;
