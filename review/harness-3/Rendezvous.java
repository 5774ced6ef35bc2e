import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;

/** The project's rendezvous hashing, loaded from the gateway's jar. */
final class Rendezvous {
    private Rendezvous() {}

    static long score(String key, String node) throws Exception {
        Class<?> type =
                new URLClassLoader(
                                new URL[] {Path.of("target/gateway.jar").toUri().toURL()},
                                null)
                        .loadClass("org.oleandertrack.core.placement.RendezvousHash");
        Method score = type.getDeclaredMethod("score", String.class, String.class);
        score.setAccessible(true);
        return (long) score.invoke(null, key, node);
    }
}
