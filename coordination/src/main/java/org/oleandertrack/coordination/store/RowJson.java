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
            throw new IllegalArgumentException("cannot encode " + value.getClass(), e);
        }
    }

    /**
     * Decodes the value of a row.
     *
     * @throws IllegalStateException if the value is not of that type; the message names the key
     */
    public static <T> T decode(Row row, Class<T> type) {
        return decode(row.key(), row.value(), type);
    }

    /**
     * Decodes JSON.
     *
     * @param where what the text belongs to, for the message of a failure
     * @throws IllegalStateException if the text is not of that type
     */
    public static <T> T decode(String where, String json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    where + " is not a " + type.getSimpleName() + ": " + json, e);
        }
    }
}
