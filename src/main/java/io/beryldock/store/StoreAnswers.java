package io.beryldock.store;

import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.time.Moment;
import io.beryldock.wire.StoreNotice;
import io.beryldock.wire.StorePart;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * What this node tells another one that asks about the store: what it knows beyond that, and since when it knows that
 * there is no more.
 *
 * <p>Used on the thread of the followers only.
 */
final class StoreAnswers {

    private final Map<String, SharedFollower> followers;
    private final Collection<SharedFollower> verified;
    private final Moment.Source clock;
    private final StoreEras eras;

    /**
     * Answers from followers that are added later too.
     *
     * @param followers by their prefix
     * @param verified those of the followers whose verification is told
     */
    StoreAnswers(
            Map<String, SharedFollower> followers,
            Collection<SharedFollower> verified,
            Moment.Source clock,
            StoreEras eras) {
        this.followers = followers;
        this.verified = verified;
        this.clock = clock;
        this.eras = eras;
    }

    StoreNotice to(StoreNotice question, boolean watching) {
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
        Optional<Moment> since = verified.contains(follower) ? follower.verified() : Optional.empty();
        Optional<Entry> kept = follower.kept().filter(entry -> !isMarked(known, entry));
        if (!newer && since.isEmpty() && kept.isEmpty()) {
            return Optional.empty();
        }
        StorePart.Builder part = newer
                ? follower.since(revision).toBuilder()
                : StoreParts.part(known.getPrefix(), follower.revision())
                        .setSince(follower.revision().number());
        Moment now = clock.now();
        since.ifPresent(moment -> part.setVerifiedAgeNanos(moment.ageNanos(now)));
        kept.ifPresent(entry -> part.setKept(StoreParts.entry(entry)));
        return Optional.of(part.build());
    }

    /** Whether the asker goes by the same entry. */
    private static boolean isMarked(StorePart known, Entry kept) {
        return known.hasKept() && StoreParts.entry(known.getKept()).revision().equals(kept.revision());
    }
}
