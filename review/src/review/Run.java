package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** One run of a case: its record and its time. */
final class Run implements AutoCloseable {
    /** A task of a thread. */
    interface Task {
        void run() throws Exception;
    }

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;

    Run(Path folder) throws IOException {
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        note("TROUBLE=%d", hasTrouble ? 1 : 0);
    }

    long micros() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    synchronized void note(String format, Object... values) {
        try {
            record.write(
                    String.format(Locale.ROOT, "%10.3f ms  ", micros() / 1000.0)
                            + String.format(Locale.ROOT, format, values)
                            + "\n");
        } catch (IOException closed) {
            // The record is complete.
        }
    }

    /** Notes the result, and shows it. */
    void result(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() throws IOException {
        record.close();
    }

    static void daemon(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // The socket was closed.
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
    }
}
