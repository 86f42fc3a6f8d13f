package milletyoke.scenario;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/** Viewers of one console: so many poll pages and JSON in turn, as many keep a stream open. */
public final class ConsoleViewers implements AutoCloseable {
    private static final List<String> PATHS =
            List.of(
                    "/",
                    "/api/v1/overview",
                    "/targets",
                    "/api/v1/targets",
                    "/volumes",
                    "/api/v1/volumes",
                    "/events",
                    "/api/v1/categories");

    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "onlooker");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final ConcurrentHistogram latencies = new ConcurrentHistogram(60_000_000, 3);
    private final LongAdder failedPages = new LongAdder(), streamedMessages = new LongAdder();
    private volatile boolean isClosed;

    /**
     * @param every milliseconds between two pages of one viewer
     */
    public ConsoleViewers(int port, String token, int viewers, long every) {
        List<HttpClient> clients = new ArrayList<>();
        for (int i = 0; i < viewers; i++) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            clients.add(client);
            int first = i;
            threads.execute(() -> poll(client, port, token, first, every));
            threads.execute(() -> stream(client, port, token));
        }
    }

    private static HttpRequest request(int port, String token, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(60))
                .header("Authorization", "Bearer " + token)
                .build();
    }

    private void poll(HttpClient client, int port, String token, int first, long every) {
        for (int n = first; !isClosed; n++) {
            long began = System.nanoTime();
            try {
                var answer =
                        client.send(
                                request(port, token, PATHS.get(n % PATHS.size())),
                                HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() != 200) {
                    failedPages.increment();
                }
                latencies.recordValue(Math.min(60_000_000, (System.nanoTime() - began) / 1000));
                Thread.sleep(every);
            } catch (InterruptedException stopped) {
                return;
            } catch (java.io.IOException unanswered) {
                failedPages.add(isClosed ? 0 : 1);
            }
        }
    }

    private void stream(HttpClient client, int port, String token) {
        try (var lines =
                client.send(
                                request(port, token, "/api/v1/stream?page=overview"),
                                HttpResponse.BodyHandlers.ofLines())
                        .body()) {
            lines.takeWhile(l -> !isClosed)
                    .filter(l -> l.startsWith("data:"))
                    .forEach(l -> streamedMessages.increment());
        } catch (java.io.IOException | java.io.UncheckedIOException ended) {
            failedPages.add(isClosed ? 0 : 1);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** What they saw so far. */
    public String text() {
        return String.format(
                "%d pages, %d failed, %d messages on streams; p50 %.1f  p99 %.1f  p99.9 %.1f  most %.1f ms",
                latencies.getTotalCount(),
                failedPages.sum(),
                streamedMessages.sum(),
                latencies.getValueAtPercentile(50) / 1e3,
                latencies.getValueAtPercentile(99) / 1e3,
                latencies.getValueAtPercentile(99.9) / 1e3,
                latencies.getMaxValue() / 1e3);
    }

    @Override
    public void close() {
        stop();
    }

    /** Ends all viewers; does nothing if they have ended. */
    public void stop() {
        isClosed = true;
        threads.shutdownNow();
        try {
            threads.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
