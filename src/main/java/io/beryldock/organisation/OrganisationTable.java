package io.beryldock.organisation;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Organisations of one version of the configuration, with look-up by key and by name.
 *
 * <p>Immutable. A look-up costs one hash-map access, whatever the number of keys. If there are no organisations,
 * requests need no key.
 */
public final class OrganisationTable {

    private static final OrganisationTable EMPTY = new OrganisationTable(ImmutableMap.of(), ImmutableMap.of());

    private final ImmutableMap<String, Organisation> byKey;
    private final ImmutableMap<OrganisationName, Organisation> byName;
    private final ImmutableSortedSet<Integer> ranks;

    private OrganisationTable(
            ImmutableMap<String, Organisation> byKey, ImmutableMap<OrganisationName, Organisation> byName) {
        this.byKey = byKey;
        this.byName = byName;
        this.ranks = byName.values().stream()
                .flatMap(organisation -> organisation.rank().stream().boxed())
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    public static OrganisationTable empty() {
        return EMPTY;
    }

    /**
     * Creates a table of the organisations and their keys.
     *
     * <p>A key that is listed for two organisations is left out, because it would let each of them act as the other.
     */
    public static OrganisationTable of(Map<Organisation, ? extends Collection<String>> keys) {
        Map<String, Organisation> found = new HashMap<>();
        Map<String, Boolean> shared = new HashMap<>();
        keys.forEach((organisation, ownKeys) -> ownKeys.forEach(key -> {
            Organisation other = found.put(key, organisation);
            shared.merge(key, other != null && !other.equals(organisation), Boolean::logicalOr);
        }));
        found.keySet().removeIf(shared::get);
        ImmutableMap.Builder<OrganisationName, Organisation> names = ImmutableMap.builder();
        keys.keySet().forEach(organisation -> names.put(organisation.name(), organisation));
        return new OrganisationTable(ImmutableMap.copyOf(found), names.buildKeepingLast());
    }

    /** Whether there are no organisations, so that requests need no key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    public Optional<Organisation> findByKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    public Optional<Organisation> findByName(OrganisationName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Number of distinct ranks of organisations that are more important than the rank of this one; 0 for an
     * organisation without a rank.
     */
    public int ranksBefore(Organisation organisation) {
        return organisation.rank().isEmpty()
                ? 0
                : ranks.headSet(organisation.rank().getAsInt()).size();
    }
}
