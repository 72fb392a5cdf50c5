package io.beryldock.membership;

import java.util.function.BiPredicate;

/**
 * The rules on which the safety of views depends, replaceable so that tests can verify that violations are detected.
 *
 * @param newer whether the first record replaces the second
 * @param refutesSuspicion whether a node that is considered suspected or failed raises its record to refute this
 */
record MergeRules(BiPredicate<MemberRecord, MemberRecord> newer, boolean refutesSuspicion) {

    static MergeRules standard() {
        return new MergeRules(MemberRecord::isNewerThan, true);
    }
}
