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
    private static final String DAY =
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

    private ScenarioRunner stage(String script) throws Exception {
        return new ScenarioRunner(
                ScenarioParser.read("test.day", "test", script),
                folder.resolve("recording"),
                false,
                Viewer.tokens(folder));
    }

    /** Plays the day beside the test's own deeds. */
    private static Future<ScenarioRunner.ScenarioResult> play(
            ExecutorService beside, ScenarioRunner runner) {
        return beside.submit(() -> runner.run(line -> {}));
    }

    @Test
    void tenantSeesItsOwnAndNothingElse() throws Exception {
        ExecutorService beside = Executors.newCachedThreadPool();
        try (ScenarioRunner runner =
                stage(String.format(DAY, "20s", 1, 3, "300/s") + "at 1s hang 1 for=500ms\n")) {
            Future<ScenarioRunner.ScenarioResult> played = play(beside, runner);
            int port = runner.initiator(0).consolePort();
            Thread.sleep(4000);
            Viewer all = new Viewer(port, Viewer.VIEWER);
            Set<String> volumes = names(all.view("volumes"));
            assertTrue(
                    volumes.stream().anyMatch(v -> v.startsWith("basic-"))
                            && volumes.stream().anyMatch(v -> v.startsWith("club-")),
                    volumes.toString());
            for (String[] own :
                    new String[][] {
                        {Viewer.CLUB, "club-", "basic"}, {Viewer.BASIC, "basic-", "club"}
                    }) {
                Viewer tenant = new Viewer(port, own[0]);
                Set<String> paths = tenant.crawl();
                for (String page : tenant.pages()) {
                    assertTrue(paths.contains("/api/v1/" + page), "the crawl missed " + page);
                    paths.add("/api/v1/" + page + "?find=" + own[2]);
                    paths.add("/api/v1/" + page + "?page=1");
                }
                for (String path : paths) {
                    String body =
                            tenant.get(path)
                                    .body()
                                    .replace("find=" + own[2], "")
                                    .replace("value=\"" + own[2], "");
                    assertFalse(
                            body.contains(own[2]),
                            path + " shows " + own[2] + " to " + own[1] + ":\n" + body);
                }
                for (String page : tenant.pages()) {
                    String some = tenant.stream("page=" + page, 2);
                    assertTrue(some.startsWith("200 data:"), some);
                    assertFalse(some.contains(own[2]), page + " streams " + own[2] + ":\n" + some);
                }
                long mine =
                        names(all.view("volumes")).stream()
                                .filter(v -> v.startsWith(own[1]))
                                .count();
                JsonNode table = tenant.view("volumes").get("tables").get(0);
                assertEquals(mine, table.get("total").asLong(), "the count is of its own alone");
                // What is another's and what is nowhere cannot be told apart.
                assertEquals(
                        tenant.get("/api/v1/volumes?find=" + own[2] + "-1").body(),
                        tenant.get("/api/v1/volumes?find=nobody-1").body());
                assertEquals(403, tenant.send("POST", "/api/v1/drain").statusCode());
                assertEquals(403, tenant.send("POST", "/api/v1/targets/t1/drain").statusCode());
                assertEquals(
                        403, tenant.send("POST", "/api/v1/targets/nowhere/drain").statusCode());
            }
            assertFalse(played.isDone(), "all of it was seen under load");
        } finally {
            beside.shutdownNow();
        }
    }

    private static Set<String> names(JsonNode view) {
        Set<String> names = new TreeSet<>();
        view.get("tables").get(0).get("rows").forEach(r -> names.add(r.get(0).asText()));
        return names;
    }

    @Test
    void tokensFormsAndBadInputGetTheRightWord() throws Exception {
        ExecutorService beside = Executors.newCachedThreadPool();
        try (ScenarioRunner runner = stage(String.format(DAY, "1s", 1, 2, "50/s"))) {
            int port = runner.initiator(0).consolePort();
            Viewer nobody = new Viewer(port, null);
            Viewer operator = new Viewer(port, Viewer.OPERATOR);
            ScriptedPeers.until(
                    () ->
                            operator.view("overview")
                                    .get("figures")
                                    .get("condition")
                                    .asText()
                                    .equals("ready"),
                    "it is ready");
            assertEquals(401, nobody.get("/api/v1/overview").statusCode());
            assertEquals(303, nobody.get("/volumes").statusCode());
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
            assertFalse(markup.contains("\"><script>"), "what is asked for is not markup");
            assertTrue(
                    operator.get("/")
                            .headers()
                            .firstValue("Content-Security-Policy")
                            .orElse("")
                            .contains("'none'"));

            // A browser: a cookie, and forms that only this session's pages can send.
            String cookie =
                    nobody.form("/login", "token=" + Viewer.OPERATOR, null)
                            .headers()
                            .firstValue("Set-Cookie")
                            .orElse("");
            assertTrue(cookie.contains("HttpOnly") && cookie.contains("SameSite=Strict"), cookie);
            String session = cookie.split(";")[0];
            assertEquals(403, nobody.form("/act", "what=drain&whom=", session).statusCode());
            assertEquals(
                    403,
                    nobody.form("/act", "what=drain&whom=&csrf=guessed", session).statusCode());
            assertEquals(403, nobody.send("POST", "/api/v1/drain", "Cookie", session).statusCode());
            assertEquals(
                    413, nobody.form("/login", "token=" + "x".repeat(5000), null).statusCode());
            assertEquals(
                    "ready",
                    operator.view("overview").get("figures").get("condition").asText(),
                    "nothing was done");
            String csrf =
                    nobody.send("GET", "/", "Cookie", session)
                            .body()
                            .replaceAll("(?s).*name=\"csrf\" value=\"([^\"]+)\".*", "$1");
            assertEquals(
                    303,
                    nobody.form("/act", "what=drain&whom=&csrf=" + csrf, session).statusCode());
            ScriptedPeers.until(
                    () ->
                            operator.view("overview")
                                    .get("figures")
                                    .get("condition")
                                    .asText()
                                    .equals("draining"),
                    "it drains");
            assertTrue(operator.get("/api/v1/events").body().contains("drained by op"));

            // Revoked in service.
            Files.writeString(
                    folder.resolve("tokens.json5"),
                    "{tokens: [" + Viewer.entry("vi", "viewer", Viewer.VIEWER, "") + "]}");
            ScriptedPeers.until(
                    () -> operator.get("/api/v1/overview").statusCode() == 401,
                    "the token is of no use");
            assertEquals(
                    303,
                    nobody.send("GET", "/", "Cookie", session).statusCode(),
                    "nor is its session");
            Viewer viewer = new Viewer(port, Viewer.VIEWER);
            assertEquals(200, viewer.get("/api/v1/overview").statusCode());
            Files.writeString(folder.resolve("tokens.json5"), "{tokens: [{");
            Thread.sleep(1200);
            assertEquals(
                    200,
                    viewer.get("/api/v1/overview").statusCode(),
                    "a file that cannot be used changes nothing");
            rawRequests(port, viewer);
        } finally {
            beside.shutdownNow();
        }
    }

    /** What no HTTP client would send: the console closes it and goes on. */
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
                String said = "";
                try {
                    said =
                            new String(
                                    socket.getInputStream().readAllBytes(),
                                    StandardCharsets.ISO_8859_1);
                } catch (java.net.SocketException reset) {
                    // closed before all was read
                }
                assertFalse(
                        said.contains("HTTP/1.1 200")
                                || said.contains("Exception")
                                || said.contains("milletyoke."),
                        raw.substring(0, Math.min(30, raw.length())) + " got " + said);
            }
            assertEquals(200, viewer.get("/api/v1/overview").statusCode());
        }
        try (Socket slow = new Socket("127.0.0.1", port)) {
            slow.setSoTimeout(500);
            OutputStream out = slow.getOutputStream();
            boolean closed = false;
            for (int i = 0; i < 60 && !closed; i++) { // a byte now and then, never a whole request
                try {
                    out.write('x');
                    closed = slow.getInputStream().read() < 0;
                } catch (java.net.SocketTimeoutException open) {
                    closed = false;
                } catch (java.io.IOException reset) {
                    closed = true;
                }
            }
            assertTrue(closed, "a request that never ends is closed");
        }
    }

    @Test
    void drainByTheConsoleFinishesWhatIsHeldAndTakesNothingNew() throws Exception {
        ExecutorService beside = Executors.newCachedThreadPool();
        long drainedAt;
        try {
            ScenarioRunner.ScenarioResult result;
            try (ScenarioRunner runner = stage(String.format(DAY, "4s", 2, 3, "400/s"))) {
                Future<ScenarioRunner.ScenarioResult> played = play(beside, runner);
                Viewer operator = new Viewer(runner.initiator(0).consolePort(), Viewer.OPERATOR);
                Thread.sleep(1500);
                assertEquals(202, operator.send("POST", "/api/v1/drain").statusCode());
                drainedAt = milletyoke.wire.SocketNetwork.monotonicMicros();
                ScriptedPeers.until(
                        () ->
                                operator.view("overview")
                                        .get("figures")
                                        .get("places taken")
                                        .asText()
                                        .startsWith("0 of"),
                        "what was held is finished");
                result = played.get();
            }
            Audit.Report report = Audit.audit(folder.resolve("recording"));
            assertTrue(report.isClean(), () -> report.text(true));
            assertTrue(result.isShutdownClean());
            int turnedAway = 0;
            for (Record record : Recorder.readAll(folder.resolve("recording"))) {
                if (record.getObserver().equals("initiator-1")
                        && record.getAtMicros() > drainedAt + 500_000
                        && record.getFrame().hasResponse()) {
                    assertEquals(Reason.DRAINED, record.getFrame().getResponse().getReason());
                    turnedAway++;
                }
                assertFalse(
                        record.getObserver().equals("initiator-1")
                                && record.getDirection() == Direction.SENT
                                && record.getFrame().hasAttempt()
                                && record.getFrame().getAttempt().getAttemptNumber() == 0
                                && record.getAtMicros() > drainedAt + 500_000,
                        "a first relay left 500 ms after the drain");
            }
            assertTrue(turnedAway > 50, "clients were told " + turnedAway + " times");
        } finally {
            beside.shutdownNow();
        }
    }

    @Test
    void rackThatRestartsIsNamedCold() throws Exception {
        ExecutorService beside = Executors.newCachedThreadPool();
        try (ScenarioRunner runner =
                stage(String.format(DAY, "5s", 1, 5, "200/s") + "at 1s restart 40% down=200ms\n")) {
            Future<ScenarioRunner.ScenarioResult> played = play(beside, runner);
            Viewer viewer = new Viewer(runner.initiator(0).consolePort(), Viewer.VIEWER);
            Set<String> cold = new TreeSet<>();
            ScriptedPeers.until(
                    () ->
                            !viewer.get("/api/v1/events?find=on%20-%3E%20cold")
                                            .body()
                                            .contains("\"total\":0")
                                    || !viewer.get("/api/v1/events?find=gone")
                                            .body()
                                            .contains("\"total\":0")
                                    || viewer.get("/api/v1/targets").body().contains("cold"),
                    "the rack restarts");
            long struck = System.nanoTime();
            ScriptedPeers.until(
                    () -> {
                        viewer.view("targets")
                                .get("tables")
                                .get(0)
                                .get("rows")
                                .forEach(
                                        r -> {
                                            if (r.get(1).asText().equals("cold")) {
                                                cold.add(r.get(0).asText());
                                            }
                                        });
                        return cold.size() == 2;
                    },
                    "both of five are named cold");
            long took = (System.nanoTime() - struck) / 1_000_000;
            assertTrue(took < 2_000, "they were named after " + took + " ms");
            String events = viewer.get("/api/v1/events?find=cold").body();
            cold.forEach(t -> assertTrue(events.contains(t), events));
            String why = viewer.view("overview").get("tables").get(0).toString();
            cold.forEach(
                    t ->
                            assertTrue(
                                    why.contains(
                                            "\"" + t + "\",\"cold: held to its slow start limit\""),
                                    why));
            String notOn = viewer.view("overview").get("figures").get("not on").asText();
            cold.forEach(t -> assertTrue(notOn.contains(t + " cold"), notOn));
            played.get();
        } finally {
            beside.shutdownNow();
        }
    }

    /**
     * Twice what it can carry, and a hang: every page of every viewer comes, and shows a picture
     * that is not old.
     */
    @Test
    void pagesComeWhileTheInitiatorIsFlooded() throws Exception {
        ExecutorService beside = Executors.newCachedThreadPool();
        ConcurrentHistogram times = new ConcurrentHistogram(60_000_000, 3);
        AtomicInteger pages = new AtomicInteger(), streamed = new AtomicInteger();
        AtomicBoolean over = new AtomicBoolean();
        try (ScenarioRunner runner =
                stage(
                        String.format(DAY, "8s", 1, 3, "2400/s retries=0")
                                + "at 2s hang 1 for=2s\n")) {
            long playedSince = System.nanoTime();
            Future<ScenarioRunner.ScenarioResult> played = play(beside, runner);
            int port = runner.initiator(0).consolePort();
            List<Future<?>> viewers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Viewer viewer = new Viewer(port, i % 2 == 0 ? Viewer.VIEWER : Viewer.OPERATOR);
                List<String> all = viewer.pages();
                int first = i;
                viewers.add(
                        beside.submit(
                                () -> {
                                    for (int n = first; !over.get(); n++) {
                                        long began = System.nanoTime();
                                        var answer =
                                                viewer.get(
                                                        (n % 3 == 0 ? "/api/v1/" : "/")
                                                                + all.get(n % all.size()));
                                        assertEquals(200, answer.statusCode());
                                        times.recordValue((System.nanoTime() - began) / 1000);
                                        pages.incrementAndGet();
                                        Thread.sleep(100);
                                    }
                                    return null;
                                }));
                viewers.add(
                        beside.submit(
                                () -> {
                                    String some =
                                            viewer.stream("page=" + all.get(first % all.size()), 5);
                                    assertTrue(some.startsWith("200 data:"), some);
                                    streamed.addAndGet(some.split("data:").length - 1);
                                    return null;
                                }));
            }
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - playedSince);
            Thread.sleep(Math.max(0, 7_000 - elapsedMillis));
            over.set(true); // the console ends with the day, and no viewer may outlast it
            for (Future<?> v : viewers) {
                v.get(30, TimeUnit.SECONDS);
            }
            ScenarioRunner.ScenarioResult result = played.get(60, TimeUnit.SECONDS);
            assertEquals(0, result.unfinished());
            assertTrue(
                    result.serviceLevels().overallServiceLevel() < 0.9,
                    "it was not flooded: " + result.serviceLevels().overallServiceLevel());
        } finally {
            beside.shutdownNow();
        }
        System.out.printf(
                "console under flood: %d pages, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n",
                pages.get(),
                times.getValueAtPercentile(50) / 1e3,
                times.getValueAtPercentile(99) / 1e3,
                times.getValueAtPercentile(99.9) / 1e3);
        assertTrue(pages.get() > 500, "only " + pages.get() + " pages came");
        assertEquals(100, streamed.get(), "five messages on each of twenty streams");
        Audit.Report report = Audit.audit(folder.resolve("recording"));
        assertTrue(report.isClean(), () -> report.text(true));
    }
}
