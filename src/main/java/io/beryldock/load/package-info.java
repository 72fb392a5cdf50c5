/** Load that targets report to their callers: the latest report, its age and the weight that it carries. */
package io.beryldock.load;
