/** Which nodes and targets there are: announcements, the view of the data centre and the directory of all of them. */
package io.beryldock.membership;
