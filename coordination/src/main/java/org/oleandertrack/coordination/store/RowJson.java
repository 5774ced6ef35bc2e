package org.oleandertrack.coordination.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Converts row values between records and JSON. Unknown fields are ignored, so that an older
 * process can read the rows of a newer one. Thread safe.
 */
public final class RowJson {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private RowJson() {}

    /** Encodes a row value. */
    public static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Decodes the value of a row.
     *
     * @throws IllegalStateException if the value does not fit the type; the message contains the
     *     key
     */
    public static <T> T decode(Row row, Class<T> type) {
        return decode(row.key(), row.value(), type);
    }

    /**
     * Decodes JSON.
     *
     * @param where origin of the text, for example the key of its row; used in the exception
     *     message
     * @throws IllegalStateException if the text does not fit the type
     */
    public static <T> T decode(String where, String json, Class<T> type) {
        T decoded;
        try {
            decoded = MAPPER.readValue(json, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    where + " is not a " + type.getSimpleName() + ": " + json, e);
        }
        if (decoded == null) {
            throw new IllegalStateException(where + " is null");
        }
        return decoded;
    }
}
