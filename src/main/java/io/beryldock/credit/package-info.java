/**
 * Credits for whole trees of calls: what the gates of a scarce service can serve in the next moments is given out, in
 * slot time, to the entries at which requests begin, so that no tree is started that cannot be finished.
 */
package io.beryldock.credit;
