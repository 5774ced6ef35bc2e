import java.lang.reflect.InvocationTargetException;

/** Runs a case: its class and its folder. Whatever fails unexpectedly gives the status 2. */
final class Run {
    public static void main(String[] args) {
        try {
            Class.forName(args[0])
                    .getDeclaredMethod("main", String[].class)
                    .invoke(null, (Object) new String[] {args[1]});
        } catch (InvocationTargetException e) {
            e.getCause().printStackTrace();
            System.exit(2);
        } catch (ReflectiveOperationException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
