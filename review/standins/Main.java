package review;

import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run. */
public final class Main {
    private static final long LIMIT_MILLIS = 115_000;

    interface Case {
        /** Returns 1 if the rule was broken, and 0 if it held. */
        int run(Site site, boolean trouble) throws Exception;

        default int maxAttempts() {
            return 4;
        }
    }

    private Main() {
    }

    public static void main(String[] arguments) throws Exception {
        Case tried = (Case) Class.forName("review." + arguments[0]).getDeclaredConstructor().newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Site site = new Site(Path.of(arguments[1]), tried.maxAttempts());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                site.close();
            } catch (IOException e) {
                e.printStackTrace();
            }
        }));
        Thread limit = new Thread(() -> {
            Site.sleep(LIMIT_MILLIS);
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        try (site) {
            status = tried.run(site, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
