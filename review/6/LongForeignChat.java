import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;

/** A conversation of 590 KB in a script whose letters take three bytes, in 20 turns. */
final class LongForeignChat {

    private static final int TURNS = 20;
    private static final int LETTERS_PER_TURN = 9_830;

    private LongForeignChat() {}

    public static void main(String[] args) {
        byte[] input = "\u982d".repeat(LETTERS_PER_TURN).getBytes(StandardCharsets.UTF_8);
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
