import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists. */
final class Json {

    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.mAt != text.length()) {
            throw new IllegalArgumentException("trailing characters at " + json.mAt);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(String.valueOf(entry.getKey()), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    separator = ",";
                }
                out.append('}');
            }
            case Iterable<?> items -> {
                out.append('[');
                String separator = "";
                for (Object item : items) {
                    out.append(separator);
                    write(item, out);
                    separator = ",";
                }
                out.append(']');
            }
            case String text -> {
                out.append('"');
                for (char c : text.toCharArray()) {
                    if (c == '"' || c == '\\') {
                        out.append('\\').append(c);
                    } else if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
                out.append('"');
            }
            default -> out.append(value);
        }
    }

    private Object value() {
        space();
        char c = mText.charAt(mAt);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            for (space(); mText.charAt(mAt) != '}'; space()) {
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                    space();
                }
                String key = string();
                space();
                mAt++;
                map.put(key, value());
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            for (space(); mText.charAt(mAt) != ']'; space()) {
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                }
                list.add(value());
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default ->
                    word.matches("-?\\d+")
                            ? (Object) Long.valueOf(word)
                            : (Object) Double.valueOf(word);
        };
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            c = mText.charAt(++mAt);
            switch (c) {
                case 'n' -> text.append('\n');
                case 'r' -> text.append('\r');
                case 't' -> text.append('\t');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                }
                default -> text.append(c);
            }
        }
        mAt++;
        return text.toString();
    }

    private void space() {
        while (mAt < mText.length() && " \n\r\t".indexOf(mText.charAt(mAt)) >= 0) {
            mAt++;
        }
    }
}
