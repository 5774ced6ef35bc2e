import java.nio.file.Path;

/** Turns that end while the store is silent, just before all gateways are killed. */
final class HeldTurns {

    private HeldTurns() {}

    public static void main(String[] args) {
        Lab.run(Path.of(args[0]), lab -> new Chat(lab).runInOutage());
    }
}
