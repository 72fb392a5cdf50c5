package io.beryldock.quarantine;

import io.beryldock.call.ServiceName;
import io.beryldock.wire.QuarantineDelta;
import io.beryldock.wire.QuarantineEntry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Converts entries to and from their wire format, where times are durations. Stateless, thread safe. */
final class QuarantineCodec {

    private QuarantineCodec() {}

    static QuarantineDelta encode(List<QuarantineTable.Row> rows, long now) {
        QuarantineDelta.Builder delta = QuarantineDelta.newBuilder();
        rows.forEach(row -> delta.addEntries(encode(row, now)));
        return delta.build();
    }

    private static QuarantineEntry encode(QuarantineTable.Row row, long now) {
        Fingerprint fingerprint = row.key().fingerprint();
        CrashEvidence evidence = row.evidence();
        return QuarantineEntry.newBuilder()
                .setFingerprintHigh(fingerprint.high())
                .setFingerprintLow(fingerprint.low())
                .setService(fingerprint.service().value())
                .setLabel(fingerprint.label())
                .setCrash(row.key().crash())
                .setRanAlone(evidence.ranAlone())
                .setConfirmed(evidence.confirmed())
                .setCleared(evidence.cleared())
                .setRemainingMillis((int) TimeUnit.NANOSECONDS.toMillis(Math.max(0, evidence.expiresNanos() - now)))
                .build();
    }

    /**
     * Decodes an entry; limits its remaining time to {@code longest}.
     *
     * @throws IllegalArgumentException when the entry is malformed
     */
    static QuarantineTable.Row decode(QuarantineEntry entry, Duration longest, long now) {
        ServiceName service = ServiceName.of(entry.getService());
        String label = entry.getLabel();
        String truncated = label.length() <= Fingerprint.MAX_LABEL ? label : label.substring(0, Fingerprint.MAX_LABEL);
        Fingerprint fingerprint =
                Fingerprint.of(entry.getFingerprintHigh(), entry.getFingerprintLow(), service, truncated);
        long remaining = TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(entry.getRemainingMillis()));
        long expires = now + Math.min(remaining, longest.toNanos());
        CrashEvidence evidence =
                new CrashEvidence(entry.getRanAlone(), entry.getConfirmed(), entry.getCleared(), expires);
        return new QuarantineTable.Row(new QuarantineTable.Key(fingerprint, entry.getCrash()), evidence);
    }
}
