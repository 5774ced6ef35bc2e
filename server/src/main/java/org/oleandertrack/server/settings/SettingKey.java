package org.oleandertrack.server.settings;

/**
 * Description of one key of a settings file, as a settings class declares it. Immutable.
 *
 * @param path section and key, for example {@code http.port}
 * @param type TOML type of the value
 * @param unit unit of the value; {@code -} if it has none
 * @param defaultText default value; {@code required} if the key must be present, {@code absent} if
 *     it may be left out and has no default
 * @param allowedText description of the accepted values, such as a range
 */
public record SettingKey(
        String path, String type, String unit, String defaultText, String allowedText) {

    /** Returns the type, the accepted values and the unit as one phrase for error messages. */
    public String expectation() {
        String unitText = unit.equals("-") ? "" : ", in " + unit;
        return type + ", " + allowedText + unitText;
    }
}
