package org.oleandertrack.server.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.PropertyBindingException;
import io.dropwizard.configuration.ConfigurationException;
import io.dropwizard.configuration.ConfigurationParsingException;
import io.dropwizard.configuration.ConfigurationValidationException;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Path.Node;
import jakarta.validation.constraints.AssertTrue;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Reads settings files. Each error is a {@link ResultException} with one of the {@code SETTINGS}
 * result codes and a one-line message with the file, the key and the accepted values. Thread-safe.
 */
public final class SettingsLoader<T extends NodeSettings> {

    private final Class<T> mType;
    private final SettingsSchema mSchema;

    private SettingsLoader(Class<T> type) {
        mType = type;
        mSchema = SettingsSchema.of(type);
    }

    // Life-cycle

    /** Returns a loader for entry hosts. */
    public static SettingsLoader<EntrySettings> entry() {
        return new SettingsLoader<>(EntrySettings.class);
    }

    /** Returns a loader for sidecars. */
    public static SettingsLoader<SidecarSettings> sidecar() {
        return new SettingsLoader<>(SidecarSettings.class);
    }

    // Operations

    /**
     * Reads and validates a file.
     *
     * @throws ResultException if the file cannot be read or is not valid
     */
    public T load(Path file) {
        byte[] content;
        try {
            content = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw failure(ResultCode.SETTINGS_UNREADABLE, file.toString(), "no such file");
        } catch (IOException e) {
            throw failure(ResultCode.SETTINGS_UNREADABLE, file.toString(), "cannot be read");
        }
        return parse(new String(content, StandardCharsets.UTF_8), file.toString());
    }

    /**
     * Reads and validates TOML text.
     *
     * @param source name of the text in error messages
     * @throws ResultException if the text is not valid
     */
    public T parse(String toml, String source) {
        try {
            return new TomlConfigurationFactory<>(mType)
                    .build(
                            path -> new ByteArrayInputStream(toml.getBytes(StandardCharsets.UTF_8)),
                            source);
        } catch (ConfigurationValidationException e) {
            throw validationFailure(source, e);
        } catch (ConfigurationParsingException e) {
            throw parsingFailure(source, e);
        } catch (JsonProcessingException e) {
            throw failure(ResultCode.SETTINGS_UNREADABLE, source, syntaxText(e));
        } catch (ConfigurationException | IOException e) {
            throw failure(ResultCode.SETTINGS_UNREADABLE, source, firstLine(e.getMessage()));
        }
    }

    // Helpers

    private ResultException parsingFailure(String source, ConfigurationParsingException e) {
        return switch (e.getCause()) {
            case PropertyBindingException unknown -> unknownKey(source, unknown);
            case JsonMappingException wrong when !wrong.getPath().isEmpty() ->
                    wrongType(source, pathOf(wrong));
            case JsonProcessingException syntax ->
                    failure(ResultCode.SETTINGS_UNREADABLE, source, syntaxText(syntax));
            case null, default -> missingKey(source);
        };
    }

    private ResultException unknownKey(String source, PropertyBindingException e) {
        String path = pathOf(e);
        int dot = path.lastIndexOf('.');
        String section = dot < 0 ? "" : path.substring(0, dot);
        return failure(
                ResultCode.SETTINGS_UNKNOWN_KEY,
                source,
                path + ": unknown key; allowed: " + String.join(", ", mSchema.namesIn(section)));
    }

    private ResultException wrongType(String source, String path) {
        String expected =
                mSchema.find(path).map(SettingKey::expectation).orElse("a section with keys");
        return failure(
                ResultCode.SETTINGS_INVALID_VALUE,
                source,
                path + ": wrong type or value; allowed: " + expected);
    }

    private ResultException missingKey(String source) {
        SettingKey first = mSchema.keys().getFirst();
        return failure(
                ResultCode.SETTINGS_INVALID_VALUE,
                source,
                first.path() + ": missing; allowed: " + first.expectation());
    }

    private ResultException validationFailure(String source, ConfigurationValidationException e) {
        List<String> order = mSchema.keys().stream().map(SettingKey::path).toList();
        String message =
                e.getConstraintViolations().stream()
                        .min(Comparator.comparingInt(v -> reportOrder(order, v)))
                        .map(this::violationText)
                        .orElse("invalid");
        return failure(ResultCode.SETTINGS_INVALID_VALUE, source, message);
    }

    // Reports violations in the order of the keys; violations of rules on several keys come last.
    private static int reportOrder(List<String> order, ConstraintViolation<?> violation) {
        int index = order.indexOf(keyOf(violation));
        return isCrossKeyRule(violation) ? order.size() + index : index;
    }

    private String violationText(ConstraintViolation<?> violation) {
        String key = keyOf(violation);
        if (isCrossKeyRule(violation)) {
            return key + ": not consistent; allowed: " + ruleParts(violation)[1];
        }
        String expected = mSchema.find(key).map(SettingKey::expectation).orElse("a section");
        if (violation.getInvalidValue() == null) {
            return key + ": missing; allowed: " + expected;
        }
        return key + ": " + valueText(violation.getInvalidValue()) + "; allowed: " + expected;
    }

    private static boolean isCrossKeyRule(ConstraintViolation<?> violation) {
        return violation.getConstraintDescriptor().getAnnotation() instanceof AssertTrue;
    }

    private static String keyOf(ConstraintViolation<?> violation) {
        String path = pathOf(violation);
        if (!isCrossKeyRule(violation)) {
            return path;
        }
        return path.substring(0, path.lastIndexOf('.') + 1) + ruleParts(violation)[0];
    }

    // The message of a rule over several keys has the form "key: accepted values".
    private static String[] ruleParts(ConstraintViolation<?> violation) {
        return violation.getMessage().split(": ", 2);
    }

    private static String valueText(Object value) {
        return (value instanceof Number ? value : "\"" + value + "\"") + " is not allowed";
    }

    private static String pathOf(JsonMappingException e) {
        return e.getPath().stream()
                .map(JsonMappingException.Reference::getFieldName)
                .filter(name -> name != null)
                .collect(Collectors.joining("."));
    }

    private static String pathOf(ConstraintViolation<?> violation) {
        return StreamSupport.stream(violation.getPropertyPath().spliterator(), false)
                .map(Node::getName)
                .map(SettingsLoader::keyOfField)
                .collect(Collectors.joining("."));
    }

    // The field of the key "port" is named "mPort".
    private static String keyOfField(String field) {
        boolean prefixed =
                field.length() > 1
                        && field.charAt(0) == 'm'
                        && Character.isUpperCase(field.charAt(1));
        return prefixed
                ? field.substring(1, 2).toLowerCase(Locale.ROOT) + field.substring(2)
                : field;
    }

    private static String syntaxText(JsonProcessingException e) {
        String place =
                e.getLocation() == null
                        ? ""
                        : "line "
                                + e.getLocation().getLineNr()
                                + ", column "
                                + e.getLocation().getColumnNr()
                                + ": ";
        return place + "not valid TOML: " + firstLine(e.getOriginalMessage());
    }

    private static String firstLine(String message) {
        return message == null ? "unreadable" : message.lines().findFirst().orElse("unreadable");
    }

    private static ResultException failure(ResultCode code, String source, String detail) {
        return new ResultException(code, source + ": " + detail);
    }
}
