package org.oleandertrack.server.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.dropwizard.configuration.BaseConfigurationFactory;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.validation.Validators;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** Dropwizard configuration factory for TOML that does not convert values between types. */
final class TomlConfigurationFactory<T> extends BaseConfigurationFactory<T> {

    private static final List<CoercionInputShape> SCALARS =
            List.of(
                    CoercionInputShape.Integer,
                    CoercionInputShape.Float,
                    CoercionInputShape.Boolean,
                    CoercionInputShape.String,
                    CoercionInputShape.EmptyString);

    private static final String PROPERTY_PREFIX = "oleandertrack.settings";

    TomlConfigurationFactory(Class<T> type) {
        super(
                new TomlFactory(),
                "TOML",
                type,
                Validators.newValidator(),
                newMapper(),
                PROPERTY_PREFIX);
    }

    @Override
    protected JsonParser createParser(InputStream input) throws IOException {
        return mapper.getFactory().createParser(input);
    }

    // Does nothing, so that JVM system properties cannot override the settings file.
    @Override
    protected void addOverride(JsonNode root, String key, String value) {}

    private static ObjectMapper newMapper() {
        ObjectMapper mapper = Jackson.newObjectMapper(new TomlFactory());
        mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_IGNORED_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS);
        for (CoercionInputShape shape : SCALARS) {
            mapper.coercionConfigFor(LogicalType.Integer).setCoercion(shape, CoercionAction.Fail);
            mapper.coercionConfigFor(LogicalType.Boolean).setCoercion(shape, CoercionAction.Fail);
            mapper.coercionConfigFor(LogicalType.Textual).setCoercion(shape, CoercionAction.Fail);
        }
        return mapper;
    }
}
