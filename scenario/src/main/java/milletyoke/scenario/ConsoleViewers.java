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

/**
 * Simulates viewers of one console. Each viewer polls pages and JSON views in turn and keeps an
 * event stream open.
 */
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
    private final LongAdder failedPages = new LongAdder();
    private final LongAdder streamedMessages = new LongAdder();
    private volatile boolean isClosed;

    /**
     * Starts the viewers.
     *
     * @param viewers how many poll, and how many keep a stream open
     * @param intervalMillis delay between two pages of one viewer
     */
    public ConsoleViewers(int port, String token, int viewers, long intervalMillis) {
        List<HttpClient> clients = new ArrayList<>();
        for (int i = 0; i < viewers; i++) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            clients.add(client);
            int firstPage = i;
            threads.execute(() -> poll(client, port, token, firstPage, intervalMillis));
            threads.execute(() -> stream(client, port, token));
        }
    }

    private static HttpRequest request(int port, String token, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(60))
                .header("Authorization", "Bearer " + token)
                .build();
    }

    private void poll(
            HttpClient client, int port, String token, int firstPage, long intervalMillis) {
        for (int page = firstPage; !isClosed; page++) {
            long startNanos = System.nanoTime();
            try {
                var response =
                        client.send(
                                request(port, token, PATHS.get(page % PATHS.size())),
                                HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() != 200) {
                    failedPages.increment();
                }
                latencies.recordValue(
                        Math.min(60_000_000, (System.nanoTime() - startNanos) / 1000));
                Thread.sleep(intervalMillis);
            } catch (InterruptedException e) {
                return;
            } catch (java.io.IOException e) {
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
            lines.takeWhile(line -> !isClosed)
                    .filter(line -> line.startsWith("data:"))
                    .forEach(line -> streamedMessages.increment());
        } catch (java.io.IOException | java.io.UncheckedIOException e) {
            failedPages.add(isClosed ? 0 : 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of pages and messages and the response times so far. */
    public String text() {
        return String.format(
                "%d pages, %d failed, %d stream messages; p50 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms",
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

    /** Stops all viewers; does nothing if they have stopped. */
    public void stop() {
        isClosed = true;
        threads.shutdownNow();
        try {
            threads.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
