import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Numbers are Long or Double. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            result.put((String) pairs[i], pairs[i + 1]);
        }
        return result;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        switch (value) {
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(entry.getKey(), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    separator = ",";
                }
                out.append('}');
            }
            case List<?> list -> {
                out.append('[');
                String separator = "";
                for (Object item : list) {
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
            case null -> out.append("null");
            default -> out.append(value);
        }
    }

    private Object value() {
        skip();
        char c = mText.charAt(mAt);
        switch (c) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                mAt++;
                for (skip(); mText.charAt(mAt) != '}'; skip()) {
                    if (mText.charAt(mAt) == ',') {
                        mAt++;
                        skip();
                    }
                    String key = (String) value();
                    skip();
                    mAt++;
                    map.put(key, value());
                }
                mAt++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                mAt++;
                for (skip(); mText.charAt(mAt) != ']'; skip()) {
                    if (mText.charAt(mAt) == ',') {
                        mAt++;
                    }
                    list.add(value());
                }
                mAt++;
                return list;
            }
            case '"' -> {
                return text();
            }
            case 't' -> {
                mAt += 4;
                return true;
            }
            case 'f' -> {
                mAt += 5;
                return false;
            }
            case 'n' -> {
                mAt += 4;
                return null;
            }
            default -> {
                int start = mAt;
                while (mAt < mText.length() && "+-.eE0123456789".indexOf(mText.charAt(mAt)) >= 0) {
                    mAt++;
                }
                String number = mText.substring(start, mAt);
                return number.matches("-?[0-9]+")
                        ? (Object) Long.parseLong(number)
                        : (Object) Double.parseDouble(number);
            }
        }
    }

    private String text() {
        StringBuilder out = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = mText.charAt(++mAt);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                }
                default -> out.append(escaped);
            }
        }
        mAt++;
        return out.toString();
    }

    private void skip() {
        while (mAt < mText.length() && mText.charAt(mAt) <= ' ') {
            mAt++;
        }
    }
}
