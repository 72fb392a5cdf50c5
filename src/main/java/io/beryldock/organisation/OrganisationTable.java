package io.beryldock.organisation;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The organisations of one version of the configuration, by their keys.
 *
 * <p>Immutable. A look-up costs one hash-map access, whatever the number of keys. Where there is no organisation at
 * all, requests need no key.
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
     * A table of the organisations and their keys.
     *
     * <p>A key that stands with two organisations is left out: it would let each act as the other.
     */
    public static OrganisationTable of(Map<Organisation, ? extends Collection<String>> keys) {
        Map<String, Organisation> found = new HashMap<>();
        Map<String, Boolean> shared = new HashMap<>();
        keys.forEach((organisation, own) -> own.forEach(key -> {
            Organisation other = found.put(key, organisation);
            shared.merge(key, other != null && !other.equals(organisation), Boolean::logicalOr);
        }));
        found.keySet().removeIf(shared::get);
        ImmutableMap.Builder<OrganisationName, Organisation> names = ImmutableMap.builder();
        keys.keySet().forEach(organisation -> names.put(organisation.name(), organisation));
        return new OrganisationTable(ImmutableMap.copyOf(found), names.buildKeepingLast());
    }

    /** Whether there is no organisation, so that no request needs a key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    public Optional<Organisation> holderOf(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    public Optional<Organisation> named(OrganisationName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** How many ranks of organisations go before that of this one; one without a rank goes with the first. */
    public int ranksBefore(Organisation organisation) {
        return organisation.rank().isEmpty()
                ? 0
                : ranks.headSet(organisation.rank().getAsInt()).size();
    }
}
