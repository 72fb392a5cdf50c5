package io.beryldock.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.dropwizard.jersey.validation.Validators;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Reads settings from JSON and validates them. Stateless.
 *
 * <p>Every error is reported as a {@link SettingsException} of one line with the key, the expected value and the
 * remedy.
 */
public final class SettingsReader {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModules(new GuavaModule(), new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private SettingsReader() {}

    /**
     * Created on first use: the validator takes a quarter of a second to create, which would delay a node that restarts
     * during an outage.
     */
    private static final class ValidatorHolder {
        static final Validator VALIDATOR = Validators.newValidator();
    }

    /** Reads settings from a file; a file that cannot be read is reported as an error of the key {@code --settings}. */
    public static <T> T read(Path file, Class<T> type) throws SettingsException {
        return parse(readFile(file), type);
    }

    /** Parses settings from JSON text. */
    public static <T> T parse(String json, Class<T> type) throws SettingsException {
        T settings = read(json, type);
        check(settings);
        return settings;
    }

    /** Reads settings that validate themselves. */
    public static <T extends SelfChecked> T readSelfChecked(Path file, Class<T> type) throws SettingsException {
        T settings = read(readFile(file), type);
        settings.check();
        return settings;
    }

    private static <T> T read(String json, Class<T> type) throws SettingsException {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException e) {
            throw explain(e);
        }
    }

    private static String readFile(Path file) throws SettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException("--settings", "a readable JSON file at " + file, "check the path");
        }
    }

    private static SettingsException explain(JsonProcessingException e) {
        if (e instanceof UnrecognizedPropertyException unknown) {
            String known = unknown.getKnownPropertyIds().stream()
                    .map(Object::toString)
                    .sorted()
                    .collect(Collectors.joining(", "));
            return new SettingsException(path(unknown), "one of " + known, "remove or rename the key");
        }
        if (e instanceof MismatchedInputException mismatch) {
            String type = mismatch.getTargetType() == null
                    ? "another type"
                    : "a value of type " + mismatch.getTargetType().getSimpleName();
            return new SettingsException(path(mismatch), type, "correct the value");
        }
        if (e instanceof JsonMappingException mapping) {
            String cause = mapping.getCause() == null
                    ? mapping.getOriginalMessage()
                    : mapping.getCause().getMessage();
            return new SettingsException(path(mapping), "a valid value (" + cause + ")", "correct the value");
        }
        String location = e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + ", column "
                        + e.getLocation().getColumnNr();
        return new SettingsException("--settings", "well-formed JSON" + location, "correct the syntax");
    }

    private static String path(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(reference ->
                        reference.getFieldName() == null ? "[" + reference.getIndex() + "]" : reference.getFieldName())
                .collect(Collectors.joining("."))
                .replace(".[", "[");
        return path.isEmpty() ? "(whole file)" : path;
    }

    private static <T> void check(T settings) throws SettingsException {
        Optional<ConstraintViolation<T>> first = ValidatorHolder.VALIDATOR.validate(settings).stream()
                .min(Comparator.comparing(
                        violation -> violation.getPropertyPath().toString()));
        if (first.isPresent()) {
            ConstraintViolation<T> firstViolation = first.get();
            String found =
                    firstViolation.getInvalidValue() == null ? "nothing" : "'" + firstViolation.getInvalidValue() + "'";
            throw new SettingsException(
                    firstViolation.getPropertyPath().toString(),
                    "a value that " + firstViolation.getMessage() + ", found " + found,
                    "set the key");
        }
    }
}
