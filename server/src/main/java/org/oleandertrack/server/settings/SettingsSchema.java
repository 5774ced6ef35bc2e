package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Constraint;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import java.lang.annotation.Annotation;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The keys of a settings class, read by reflection from its fields and their constraints. Error
 * messages and the test of {@code docs/settings.md} use them, so that both agree with the class.
 * Immutable.
 */
public final class SettingsSchema {

    // Unit of a value by the suffix of its key.
    private static final Map<String, String> UNITS_BY_SUFFIX =
            Map.of(
                    "Millis", "milliseconds",
                    "Seconds", "seconds",
                    "Bytes", "bytes",
                    "Tokens", "tokens",
                    "Calls", "calls",
                    "perSecond", "commits per second",
                    "burst", "commits",
                    "count", "shards");

    private final Map<String, SettingKey> mKeys;
    private final Map<String, List<String>> mSections;

    private SettingsSchema(Map<String, SettingKey> keys, Map<String, List<String>> sections) {
        mKeys = keys;
        mSections = sections;
    }

    // Life-cycle

    /** Reads the keys of a settings class. */
    public static SettingsSchema of(Class<? extends NodeSettings> type) {
        Map<String, SettingKey> keys = new LinkedHashMap<>();
        Map<String, List<String>> sections = new LinkedHashMap<>();
        try {
            collectKeys("", type, type.getDeclaredConstructor().newInstance(), keys, sections);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read the settings class " + type.getName(), e);
        }
        return new SettingsSchema(keys, sections);
    }

    // Accessors

    /** Returns all keys, grouped by section. */
    public List<SettingKey> keys() {
        return List.copyOf(mKeys.values());
    }

    /** Returns the key at a path such as {@code http.port}, if there is one. */
    public Optional<SettingKey> find(String path) {
        return Optional.ofNullable(mKeys.get(path));
    }

    /**
     * Returns the names of the keys and subsections that a section may contain.
     *
     * @param section path of the section; empty for the top level of the file
     */
    public List<String> namesIn(String section) {
        return mSections.getOrDefault(section, List.of());
    }

    // Helpers

    private static void collectKeys(
            String prefix,
            Class<?> type,
            Object defaults,
            Map<String, SettingKey> keys,
            Map<String, List<String>> sections)
            throws IllegalAccessException {
        List<Field> nested = new ArrayList<>();
        List<String> names = sections.computeIfAbsent(prefix, p -> new ArrayList<>());
        for (Field field : settingFields(type)) {
            String name = field.getAnnotation(JsonProperty.class).value();
            names.add(name);
            if (field.isAnnotationPresent(Valid.class)) {
                nested.add(field);
                continue;
            }
            String path = join(prefix, name);
            keys.put(path, describeKey(path, name, field, field.get(defaults)));
        }
        for (Field field : nested) {
            String path = join(prefix, field.getAnnotation(JsonProperty.class).value());
            collectKeys(path, field.getType(), field.get(defaults), keys, sections);
        }
    }

    private static List<Field> settingFields(Class<?> type) {
        List<Field> fields = new ArrayList<>();
        if (type.getSuperclass() == NodeSettings.class) {
            fields.addAll(settingFields(NodeSettings.class));
        }
        Arrays.stream(type.getDeclaredFields())
                .filter(field -> field.isAnnotationPresent(JsonProperty.class))
                .peek(field -> field.setAccessible(true))
                .forEach(fields::add);
        return fields;
    }

    private static SettingKey describeKey(String path, String name, Field field, Object value) {
        return new SettingKey(
                path,
                typeText(field.getType()),
                unitText(name, field.getType()),
                defaultText(field, value),
                allowedText(field));
    }

    private static String typeText(Class<?> type) {
        if (type == int.class || type == long.class) {
            return "integer";
        }
        if (type == boolean.class) {
            return "boolean";
        }
        return type == List.class ? "list of strings" : "string";
    }

    private static String unitText(String name, Class<?> type) {
        if (type != int.class && type != long.class) {
            return "-";
        }
        return UNITS_BY_SUFFIX.entrySet().stream()
                .filter(entry -> name.endsWith(entry.getKey()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse("-");
    }

    private static String defaultText(Field field, Object value) {
        if (value == null) {
            boolean required =
                    field.isAnnotationPresent(jakarta.validation.constraints.NotNull.class);
            return required ? "required" : "absent";
        }
        if (value instanceof Enum<?> constant) {
            return enumText(constant);
        }
        return value.toString();
    }

    private static String allowedText(Field field) {
        Class<?> type = field.getType();
        if (field.isAnnotationPresent(Min.class)) {
            return field.getAnnotation(Min.class).value()
                    + " to "
                    + field.getAnnotation(Max.class).value();
        }
        if (type.isEnum()) {
            return Arrays.stream(type.getEnumConstants())
                    .map(constant -> enumText((Enum<?>) constant))
                    .collect(Collectors.joining(" or "));
        }
        if (type == boolean.class) {
            return "true or false";
        }
        return Arrays.stream(field.getAnnotations())
                .filter(SettingsSchema::isOwnConstraint)
                .map(SettingsSchema::message)
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalStateException(
                                        "settings field without a constraint: " + field.getName()));
    }

    private static boolean isOwnConstraint(Annotation annotation) {
        Class<? extends Annotation> type = annotation.annotationType();
        return type.isAnnotationPresent(Constraint.class)
                && type.getPackage() == SettingsSchema.class.getPackage();
    }

    private static String message(Annotation annotation) {
        try {
            return (String) annotation.annotationType().getMethod("message").invoke(annotation);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(annotation.toString(), e);
        }
    }

    private static String enumText(Enum<?> constant) {
        try {
            return constant.getDeclaringClass()
                    .getField(constant.name())
                    .getAnnotation(JsonProperty.class)
                    .value();
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(constant.toString(), e);
        }
    }

    private static String join(String prefix, String name) {
        return prefix.isEmpty() ? name : prefix + "." + name;
    }
}
