package io.beryldock.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares output with a file of src/test/resources/golden.
 *
 * <p>{@code mvn -B -Dgolden.renew=true test} writes the files instead; read their difference before committing it.
 */
public final class GoldenFile {

    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private GoldenFile() {}

    public static void check(String name, String actual) {
        Path file = DIRECTORY.resolve(name);
        try {
            if (Boolean.getBoolean("golden.renew")) {
                Files.createDirectories(DIRECTORY);
                Files.writeString(file, actual);
            }
            assertThat(actual).as(file + "; renew with -Dgolden.renew=true").isEqualTo(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException(file + " can't be read; write it with -Dgolden.renew=true", e);
        }
    }
}
