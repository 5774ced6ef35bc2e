package org.oleandertrack.server.settings;

/**
 * One key of a settings file, as the settings classes declare it. Immutable.
 *
 * @param path section and key, for example {@code http.port}
 * @param type TOML type of the value
 * @param unit unit of the value; {@code -} if it has none
 * @param defaultText value used if the key is absent; {@code required} if it must be present
 * @param allowedText range or form of accepted values
 */
public record SettingKey(
        String path, String type, String unit, String defaultText, String allowedText) {

    /** Returns type and range in one phrase, for error messages. */
    public String expectation() {
        String unitText = unit.equals("-") ? "" : ", in " + unit;
        return type + ", " + allowedText + unitText;
    }
}
