package io.beryldock.membership;

import java.util.function.BiPredicate;

/**
 * The rules on which the safety of views rests, apart so that a test can show that runs with others are caught.
 *
 * @param newer whether the first record replaces the second
 * @param denies whether a node that is held for suspected or failed raises its record
 */
record MergeRules(BiPredicate<MemberRecord, MemberRecord> newer, boolean denies) {

    static MergeRules standard() {
        return new MergeRules(MemberRecord::isNewerThan, true);
    }
}
