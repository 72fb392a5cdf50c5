package io.beryldock.store;

import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.time.Moment;
import io.beryldock.wire.StoreNotice;
import io.beryldock.wire.StorePart;
import java.util.Map;
import java.util.Optional;

/**
 * Answers the questions of other nodes about the store with the changes that the asking node lacks and with the age of
 * this node's last check of the store.
 *
 * <p>Used on the timer thread only.
 */
final class StoreQuestionHandler {

    private final Map<String, SharedFollower> followers;
    private final Moment.Source clock;
    private final StoreEras eras;

    /**
     * Keeps a reference to the map, so that followers added later are included in answers.
     *
     * @param followers the followers by prefix
     */
    StoreQuestionHandler(Map<String, SharedFollower> followers, Moment.Source clock, StoreEras eras) {
        this.followers = followers;
        this.clock = clock;
        this.eras = eras;
    }

    StoreNotice answer(StoreNotice question, boolean watching) {
        StoreNotice.Builder answer =
                StoreNotice.newBuilder().setEra(eras.newest()).setWatching(watching);
        for (StorePart known : question.getPartsList()) {
            SharedFollower follower = followers.get(known.getPrefix());
            if (follower != null) {
                part(follower, known).ifPresent(answer::addParts);
            }
        }
        return answer.build();
    }

    private Optional<StorePart> part(SharedFollower follower, StorePart known) {
        StoreRevision revision = StoreParts.revision(known);
        boolean newer = follower.revision().isAfter(revision);
        boolean checked = follower.checkedRevision().isSameEra(follower.revision());
        boolean verified = follower.verifiedRevision().isSameEra(follower.revision());
        Optional<Entry> kept = follower.kept().filter(entry -> !isKnown(known, entry));
        if (!newer && !checked && !verified && kept.isEmpty()) {
            return Optional.empty();
        }
        StorePart.Builder part = newer
                ? follower.since(revision).toBuilder()
                : StoreParts.part(known.getPrefix(), follower.revision())
                        .setSince(follower.revision().number());
        if (checked) {
            follower.checkedAgeNanos().ifPresent(part::setCheckedAgeNanos);
            part.setCheckedRevision(follower.checkedRevision().number());
        }
        if (verified) {
            Moment now = clock.now();
            follower.verified().ifPresent(moment -> part.setVerifiedAgeNanos(moment.ageNanos(now)));
            part.setVerifiedRevision(follower.verifiedRevision().number());
        }
        kept.ifPresent(entry -> part.setKept(StoreParts.entry(entry)));
        return Optional.of(part.build());
    }

    /** Whether the asking node applies the same retained entry. */
    private static boolean isKnown(StorePart known, Entry kept) {
        return known.hasKept() && StoreParts.entry(known.getKept()).revision().equals(kept.revision());
    }
}
