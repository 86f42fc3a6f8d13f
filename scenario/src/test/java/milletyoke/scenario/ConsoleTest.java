package milletyoke.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Record;
import milletyoke.wire.recording.Recorder;
import org.HdrHistogram.ConcurrentHistogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The console over HTTP, beside real initiators under load. */
@Timeout(120)
class ConsoleTest {
    private static final String SCRIPT =
            """
            lasts %s
            initiators %d
            targets %d cores=2 speed=1..1 unit=2ms room=40
            list lag=50ms..100ms
            load %s
            category read  share=60%% units=1..4 agreed=400ms abandon=2s importance=2
            category write share=40%% units=1..4 agreed=500ms abandon=2s repeats=one-shot write
            plan basic share=50%% volumes=5 hosts=1
            plan club  share=50%% volumes=5 hosts=1
            bounds cold=6s coldshare=30%% fall=1s tip=2
            """;

    @TempDir Path folder;

    private ScenarioRunner startRunner(String script) throws Exception {
        return new ScenarioRunner(
                ScenarioParser.read("test.day", "test", script),
                folder.resolve("recording"),
                false,
                Viewer.tokens(folder));
    }

    /** Runs the scenario in the background. */
    private static Future<ScenarioRunner.ScenarioResult> runInBackground(
            ExecutorService executor, ScenarioRunner runner) {
        return executor.submit(() -> runner.run(line -> {}));
    }

    @Test
    void tenantSeesOnlyItsOwnVolumes() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try (ScenarioRunner runner =
                startRunner(
                        String.format(SCRIPT, "20s", 1, 3, "300/s") + "at 1s hang 1 for=500ms\n")) {
            Future<ScenarioRunner.ScenarioResult> run = runInBackground(executor, runner);
            int port = runner.initiator(0).consolePort();
            Thread.sleep(4000);
            Viewer viewer = new Viewer(port, Viewer.VIEWER);
            Set<String> volumes = names(viewer.view("volumes"));
            assertTrue(
                    volumes.stream().anyMatch(volume -> volume.startsWith("basic-"))
                            && volumes.stream().anyMatch(volume -> volume.startsWith("club-")),
                    volumes.toString());
            for (String[] tenantCase :
                    new String[][] {
                        {Viewer.CLUB, "club-", "basic"}, {Viewer.BASIC, "basic-", "club"}
                    }) {
                Viewer tenant = new Viewer(port, tenantCase[0]);
                Set<String> paths = tenant.crawl();
                for (String page : tenant.pages()) {
                    assertTrue(paths.contains("/api/v1/" + page), "the crawl missed " + page);
                    paths.add("/api/v1/" + page + "?find=" + tenantCase[2]);
                    paths.add("/api/v1/" + page + "?page=1");
                }
                for (String path : paths) {
                    String body =
                            tenant.get(path)
                                    .body()
                                    .replace("find=" + tenantCase[2], "")
                                    .replace("value=\"" + tenantCase[2], "");
                    assertFalse(
                            body.contains(tenantCase[2]),
                            path
                                    + " shows "
                                    + tenantCase[2]
                                    + " to "
                                    + tenantCase[1]
                                    + ":\n"
                                    + body);
                }
                for (String page : tenant.pages()) {
                    String stream = tenant.stream("page=" + page, 2);
                    assertTrue(stream.startsWith("200 data:"), stream);
                    assertFalse(
                            stream.contains(tenantCase[2]),
                            page + " streams " + tenantCase[2] + ":\n" + stream);
                }
                long ownVolumes =
                        names(viewer.view("volumes")).stream()
                                .filter(volume -> volume.startsWith(tenantCase[1]))
                                .count();
                JsonNode table = tenant.view("volumes").get("tables").get(0);
                assertEquals(
                        ownVolumes,
                        table.get("total").asLong(),
                        "the total counts only the volumes of the tenant");
                // A volume of another tenant and one that does not exist give the same response.
                assertEquals(
                        tenant.get("/api/v1/volumes?find=" + tenantCase[2] + "-1").body(),
                        tenant.get("/api/v1/volumes?find=nobody-1").body());
                assertEquals(403, tenant.send("POST", "/api/v1/drain").statusCode());
                assertEquals(403, tenant.send("POST", "/api/v1/targets/t1/drain").statusCode());
                assertEquals(
                        403, tenant.send("POST", "/api/v1/targets/nowhere/drain").statusCode());
            }
            assertFalse(run.isDone(), "the scenario ended before the checks");
        } finally {
            executor.shutdownNow();
        }
    }

    private static Set<String> names(JsonNode view) {
        Set<String> names = new TreeSet<>();
        view.get("tables").get(0).get("rows").forEach(row -> names.add(row.get(0).asText()));
        return names;
    }

    @Test
    void tokensFormsAndInvalidInputGetTheRightStatus() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try (ScenarioRunner runner = startRunner(String.format(SCRIPT, "1s", 1, 2, "50/s"))) {
            int port = runner.initiator(0).consolePort();
            Viewer anonymous = new Viewer(port, null);
            Viewer operator = new Viewer(port, Viewer.OPERATOR);
            ScriptedPeers.await(
                    () ->
                            operator.view("overview")
                                    .get("figures")
                                    .get("condition")
                                    .asText()
                                    .equals("ready"),
                    "the initiator is ready");
            assertEquals(401, anonymous.get("/api/v1/overview").statusCode());
            assertEquals(303, anonymous.get("/volumes").statusCode());
            assertEquals(401, new Viewer(port, "guessed").get("/api/v1/volumes").statusCode());
            assertEquals(
                    403,
                    new Viewer(port, Viewer.VIEWER).send("POST", "/api/v1/drain").statusCode());
            assertEquals(404, operator.get("/api/v1/nothing").statusCode());
            assertEquals(404, operator.get("/static/../../etc/passwd").statusCode());
            assertEquals(404, operator.send("POST", "/api/v1/targets/nowhere/drain").statusCode());
            assertEquals(400, operator.get("/api/v1/volumes?page=-1").statusCode());
            assertEquals(400, operator.get("/api/v1/volumes?pgae=1").statusCode());
            assertEquals(400, operator.get("/api/v1/volumes?find=" + "x".repeat(101)).statusCode());
            assertEquals(405, operator.send("DELETE", "/api/v1/volumes").statusCode());
            var problem = operator.get("/api/v1/nothing");
            assertEquals(
                    "application/problem+json",
                    problem.headers().firstValue("Content-Type").orElse(""));
            assertFalse(problem.body().contains("milletyoke."), problem.body());
            String markup = operator.get("/volumes?find=%22%3E%3Cscript%3E").body();
            assertFalse(markup.contains("\"><script>"), "the search text is not escaped");
            assertTrue(
                    operator.get("/")
                            .headers()
                            .firstValue("Content-Security-Policy")
                            .orElse("")
                            .contains("'none'"));

            // A browser session has a cookie, and forms need the CSRF token of its pages.
            String cookie =
                    anonymous
                            .form("/login", "token=" + Viewer.OPERATOR, null)
                            .headers()
                            .firstValue("Set-Cookie")
                            .orElse("");
            assertTrue(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"), cookie);
            String session = cookie.split(";")[0];
            assertEquals(403, anonymous.form("/act", "what=drain&whom=", session).statusCode());
            assertEquals(
                    403,
                    anonymous.form("/act", "what=drain&whom=&csrf=guessed", session).statusCode());
            assertEquals(
                    403, anonymous.send("POST", "/api/v1/drain", "Cookie", session).statusCode());
            assertEquals(
                    413, anonymous.form("/login", "token=" + "x".repeat(5000), null).statusCode());
            assertEquals(
                    "ready",
                    operator.view("overview").get("figures").get("condition").asText(),
                    "a rejected action was carried out");
            String csrf =
                    anonymous
                            .send("GET", "/", "Cookie", session)
                            .body()
                            .replaceAll("(?s).*name=\"csrf\" value=\"([^\"]+)\".*", "$1");
            assertEquals(
                    303,
                    anonymous.form("/act", "what=drain&whom=&csrf=" + csrf, session).statusCode());
            ScriptedPeers.await(
                    () ->
                            operator.view("overview")
                                    .get("figures")
                                    .get("condition")
                                    .asText()
                                    .equals("draining"),
                    "the initiator drains");
            assertTrue(operator.get("/api/v1/events").body().contains("drained by op"));

            // A token is revoked while the console runs.
            Files.writeString(
                    folder.resolve("tokens.json5"),
                    "{tokens: [" + Viewer.entry("vi", "viewer", Viewer.VIEWER, "") + "]}");
            ScriptedPeers.await(
                    () -> operator.get("/api/v1/overview").statusCode() == 401,
                    "the revoked token is rejected");
            assertEquals(
                    303,
                    anonymous.send("GET", "/", "Cookie", session).statusCode(),
                    "the session of a revoked token must be rejected");
            Viewer viewer = new Viewer(port, Viewer.VIEWER);
            assertEquals(200, viewer.get("/api/v1/overview").statusCode());
            Files.writeString(folder.resolve("tokens.json5"), "{tokens: [{");
            Thread.sleep(1200);
            assertEquals(
                    200,
                    viewer.get("/api/v1/overview").statusCode(),
                    "an invalid token file must not change the tokens");
            rawRequests(port, viewer);
        } finally {
            executor.shutdownNow();
        }
    }

    /** Sends malformed requests; the console must close the connection and stay available. */
    private static void rawRequests(int port, Viewer viewer) throws Exception {
        for (String raw :
                List.of(
                        "\0\1\2\3\r\n\r\n",
                        "GET /\r\n\r\n",
                        "GET / HTTP/9.9\r\n\r\n",
                        "GET / HTTP/1.1\r\nX: " + "x".repeat(20_000) + "\r\n\r\n",
                        "POST /login HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n",
                        "GET /%zz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(15_000);
                socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
                String response = "";
                try {
                    response =
                            new String(
                                    socket.getInputStream().readAllBytes(),
                                    StandardCharsets.ISO_8859_1);
                } catch (java.net.SocketException e) {
                    // the connection was reset before the end of the response
                }
                assertFalse(
                        response.contains("HTTP/1.1 200")
                                || response.contains("Exception")
                                || response.contains("milletyoke."),
                        raw.substring(0, Math.min(30, raw.length())) + " got " + response);
            }
            assertEquals(200, viewer.get("/api/v1/overview").statusCode());
        }
        try (Socket incomplete = new Socket("127.0.0.1", port)) {
            incomplete.setSoTimeout(500);
            OutputStream out = incomplete.getOutputStream();
            boolean closed = false;
            for (int i = 0; i < 60 && !closed; i++) { // one byte per 500 ms, never a whole request
                try {
                    out.write('x');
                    closed = incomplete.getInputStream().read() < 0;
                } catch (java.net.SocketTimeoutException e) {
                    closed = false;
                } catch (java.io.IOException e) {
                    closed = true;
                }
            }
            assertTrue(closed, "the connection of an incomplete request was not closed");
        }
    }

    @Test
    void drainFromConsoleFinishesPendingRequestsAndRejectsNewOnes() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        long drainedAt;
        try {
            ScenarioRunner.ScenarioResult result;
            try (ScenarioRunner runner = startRunner(String.format(SCRIPT, "4s", 2, 3, "400/s"))) {
                Future<ScenarioRunner.ScenarioResult> run = runInBackground(executor, runner);
                Viewer operator = new Viewer(runner.initiator(0).consolePort(), Viewer.OPERATOR);
                Thread.sleep(1500);
                assertEquals(202, operator.send("POST", "/api/v1/drain").statusCode());
                drainedAt = milletyoke.wire.SocketNetwork.monotonicMicros();
                ScriptedPeers.await(
                        () ->
                                operator.view("overview")
                                        .get("figures")
                                        .get("places taken")
                                        .asText()
                                        .startsWith("0 of"),
                        "the pending requests are finished");
                result = run.get();
            }
            Audit.Report report = Audit.audit(folder.resolve("recording"));
            assertTrue(report.isClean(), () -> report.text(true));
            assertTrue(result.isShutdownClean());
            int rejected = 0;
            for (Record record : Recorder.readAll(folder.resolve("recording"))) {
                if (record.getObserver().equals("initiator-1")
                        && record.getAtMicros() > drainedAt + 500_000
                        && record.getFrame().hasResponse()) {
                    assertEquals(Reason.DRAINED, record.getFrame().getResponse().getReason());
                    rejected++;
                }
                assertFalse(
                        record.getObserver().equals("initiator-1")
                                && record.getDirection() == Direction.SENT
                                && record.getFrame().hasAttempt()
                                && record.getFrame().getAttempt().getAttemptNumber() == 0
                                && record.getAtMicros() > drainedAt + 500_000,
                        "a first attempt was sent later than 500 ms after the drain");
            }
            assertTrue(rejected > 50, "only " + rejected + " requests were rejected");
        } finally {
            executor.shutdownNow();
        }
    }

    @Test
    void restartedTargetsAreShownAsCold() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try (ScenarioRunner runner =
                startRunner(
                        String.format(SCRIPT, "5s", 1, 5, "200/s")
                                + "at 1s restart 40% down=200ms\n")) {
            Future<ScenarioRunner.ScenarioResult> run = runInBackground(executor, runner);
            Viewer viewer = new Viewer(runner.initiator(0).consolePort(), Viewer.VIEWER);
            Set<String> cold = new TreeSet<>();
            ScriptedPeers.await(
                    () ->
                            !viewer.get("/api/v1/events?find=on%20-%3E%20cold")
                                            .body()
                                            .contains("\"total\":0")
                                    || !viewer.get("/api/v1/events?find=gone")
                                            .body()
                                            .contains("\"total\":0")
                                    || viewer.get("/api/v1/targets").body().contains("cold"),
                    "the targets restart");
            long restartNanos = System.nanoTime();
            ScriptedPeers.await(
                    () -> {
                        viewer.view("targets")
                                .get("tables")
                                .get(0)
                                .get("rows")
                                .forEach(
                                        row -> {
                                            if (row.get(1).asText().equals("cold")) {
                                                cold.add(row.get(0).asText());
                                            }
                                        });
                        return cold.size() == 2;
                    },
                    "two of five targets are shown as cold");
            long tookMillis = (System.nanoTime() - restartNanos) / 1_000_000;
            assertTrue(
                    tookMillis < 2_000, "the cold targets were shown after " + tookMillis + " ms");
            String events = viewer.get("/api/v1/events?find=cold").body();
            cold.forEach(target -> assertTrue(events.contains(target), events));
            String reasons = viewer.view("overview").get("tables").get(0).toString();
            cold.forEach(
                    target ->
                            assertTrue(
                                    reasons.contains(
                                            "\""
                                                    + target
                                                    + "\",\"cold: held to its slow start limit\""),
                                    reasons));
            String notActive = viewer.view("overview").get("figures").get("not on").asText();
            cold.forEach(target -> assertTrue(notActive.contains(target + " cold"), notActive));
            run.get();
        } finally {
            executor.shutdownNow();
        }
    }

    /**
     * Runs a load of twice the capacity with a hanging target; every page request of every viewer
     * must succeed.
     */
    @Test
    void pagesAreServedUnderOverload() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        ConcurrentHistogram latencies = new ConcurrentHistogram(60_000_000, 3);
        AtomicInteger pages = new AtomicInteger(), streamed = new AtomicInteger();
        AtomicBoolean isFinished = new AtomicBoolean();
        try (ScenarioRunner runner =
                startRunner(
                        String.format(SCRIPT, "8s", 1, 3, "2400/s retries=0")
                                + "at 2s hang 1 for=2s\n")) {
            long startedNanos = System.nanoTime();
            Future<ScenarioRunner.ScenarioResult> run = runInBackground(executor, runner);
            int port = runner.initiator(0).consolePort();
            List<Future<?>> viewers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Viewer viewer = new Viewer(port, i % 2 == 0 ? Viewer.VIEWER : Viewer.OPERATOR);
                List<String> viewerPages = viewer.pages();
                int first = i;
                viewers.add(
                        executor.submit(
                                () -> {
                                    for (int n = first; !isFinished.get(); n++) {
                                        long startNanos = System.nanoTime();
                                        var response =
                                                viewer.get(
                                                        (n % 3 == 0 ? "/api/v1/" : "/")
                                                                + viewerPages.get(
                                                                        n % viewerPages.size()));
                                        assertEquals(200, response.statusCode());
                                        latencies.recordValue(
                                                (System.nanoTime() - startNanos) / 1000);
                                        pages.incrementAndGet();
                                        Thread.sleep(100);
                                    }
                                    return null;
                                }));
                viewers.add(
                        executor.submit(
                                () -> {
                                    String messages =
                                            viewer.stream(
                                                    "page="
                                                            + viewerPages.get(
                                                                    first % viewerPages.size()),
                                                    5);
                                    assertTrue(messages.startsWith("200 data:"), messages);
                                    streamed.addAndGet(messages.split("data:").length - 1);
                                    return null;
                                }));
            }
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
            Thread.sleep(Math.max(0, 7_000 - elapsedMillis));
            isFinished.set(
                    true); // the console stops with the scenario, so the viewers must stop first
            for (Future<?> viewerTask : viewers) {
                viewerTask.get(30, TimeUnit.SECONDS);
            }
            ScenarioRunner.ScenarioResult result = run.get(60, TimeUnit.SECONDS);
            assertEquals(0, result.unfinished());
            assertTrue(
                    result.serviceLevels().overallServiceLevel() < 0.9,
                    "no overload, service level " + result.serviceLevels().overallServiceLevel());
        } finally {
            executor.shutdownNow();
        }
        System.out.printf(
                "console under flood: %d pages, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n",
                pages.get(),
                latencies.getValueAtPercentile(50) / 1e3,
                latencies.getValueAtPercentile(99) / 1e3,
                latencies.getValueAtPercentile(99.9) / 1e3);
        assertTrue(pages.get() > 500, "only " + pages.get() + " pages were served");
        assertEquals(100, streamed.get(), "messages, five on each of twenty streams");
        Audit.Report report = Audit.audit(folder.resolve("recording"));
        assertTrue(report.isClean(), () -> report.text(true));
    }
}
