import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;

/** A conversation of 1.3 MB of ASCII text, in four turns. */
final class LongChat {

    private static final int TURNS = 4;
    private static final int BYTES_PER_TURN = 325_000;

    private LongChat() {}

    public static void main(String[] args) {
        byte[] input = "a".repeat(BYTES_PER_TURN).getBytes(StandardCharsets.US_ASCII);
        Lab.run(Path.of(args[0]), lab -> new Chat(lab).run(Collections.nCopies(TURNS, input)));
    }
}
