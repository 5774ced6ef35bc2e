import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;

/** A conversation of 1.3 MB of ASCII text, in four turns. */
final class LongChat {

    private static final int TURNS = 4;
    private static final int BYTES_PER_TURN = 325_000;

    private LongChat() {}

    public static void main(String[] args) {
        byte[] input = "a".repeat(BYTES_PER_TURN).getBytes(StandardCharsets.US_ASCII);
        List<byte[]> inputs = Collections.nCopies(TURNS, input);
        boolean planned = "1".equals(System.getenv("PLANNED"));
        Lab.run(
                Path.of(args[0]),
                lab -> {
                    if (planned) {
                        new Chat(lab).runWithPlannedRestarts(inputs);
                    } else {
                        new Chat(lab).run(inputs);
                    }
                });
    }
}
