package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests and answers of a scenario as text, in the order in which the scenario waited for the
 * answers.
 */
final class Transcript {

    private static final List<String> HEADER_PREFIXES =
            List.of("content-type", "oleandertrack-", "retry-after", "echo-");
    private static final int MAX_SOURCE_CHARS = 400;

    private final StringBuilder mText = new StringBuilder();

    /** Adds the line of the scenario that sent a request, and the answer to it. */
    void add(String source, Answer answer) {
        mText.append("> ")
                .append(
                        source.length() > MAX_SOURCE_CHARS
                                ? source.substring(0, MAX_SOURCE_CHARS) + "..."
                                : source)
                .append("\n< ")
                .append(answer.status())
                .append(answer.failure().isPresent() ? " (cut off)" : "")
                .append('\n');
        headers(answer).forEach((name, value) -> appendHeader(name, value));
        mText.append(Scrubber.scrub(answer.body())).append("\n\n");
    }

    @Override
    public String toString() {
        return mText.toString();
    }

    private void appendHeader(String name, String value) {
        String shown = name.equals("retry-after") ? "<time>" : value;
        mText.append(name).append(": ").append(shown).append('\n');
    }

    private static Map<String, String> headers(Answer answer) {
        Map<String, String> shown = new TreeMap<>();
        if (answer.headers().isPresent()) {
            answer.headers().get().map().forEach((name, values) -> addShown(shown, name, values));
        }
        return shown;
    }

    private static void addShown(Map<String, String> shown, String name, List<String> values) {
        String lower = name.toLowerCase(Locale.ROOT);
        if (HEADER_PREFIXES.stream().anyMatch(lower::startsWith)) {
            shown.put(lower, String.join(", ", values));
        }
    }
}
