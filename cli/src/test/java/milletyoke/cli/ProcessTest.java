package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as processes: what it ends with, and what a real kill and a real SIGTERM leave. */
@Timeout(120)
class ProcessTest {
    private static final String SETUP =
            """
            {name: "i1", listen: "127.0.0.1:%d", discovery: "127.0.0.1:%d", folder: "state",
             deployment: {initiators: 1,
               categories: [{name: "read", repeats: "harmless", agreedTime: "1 s"},
                            {name: "write", repeats: "one-shot", agreedTime: "1 s"}],
               plans: [{name: "basic"}]}}
            """;

    @TempDir Path folder;

    private final List<Process> started = new ArrayList<>();

    private Process start(String name, String... args) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "milletyoke.cli.Main"));
        command.addAll(List.of(args));
        Process process =
                new ProcessBuilder(command)
                        .redirectOutput(folder.resolve(name + ".out").toFile())
                        .redirectError(folder.resolve(name + ".err").toFile())
                        .start();
        started.add(process);
        return process;
    }

    private String out(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".out"));
    }

    private String err(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".err"));
    }

    private int end(Process process) throws InterruptedException {
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "it did not end within a minute");
        return process.exitValue();
    }

    private int portOf(String name) throws Exception {
        for (int i = 0; i < 3000; i++) {
            String text = out(name).trim();
            if (text.contains("at port ")) {
                return Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1));
            }
            Thread.sleep(10);
        }
        throw new AssertionError(name + " told no port: " + err(name));
    }

    @org.junit.jupiter.api.AfterEach
    void stopAll() {
        started.forEach(Process::destroyForcibly);
    }

    @Test
    void wrongUseEndsWithTwoAndOneLine() throws Exception {
        Path bad =
                Files.writeString(
                        folder.resolve("bad.json5"),
                        String.format(SETUP, 0, 1).replace("\"1 s\"", "1"));
        assertEquals(2, end(start("a", "initiator", "--config", bad.toString())));
        assertTrue(
                err("a").contains(
                                "bad.json5:3: deployment.categories[0].agreedTime: a time with its unit"),
                err("a"));
        assertEquals(1, err("a").lines().count(), err("a"));
        assertEquals(2, end(start("b", "initiator", "--config", "no-such-file")));
        assertEquals(2, end(start("c", "frobnicate")));
        assertEquals(2, end(start("d", "rehearse", "no-such.day")));
        Path good = Files.writeString(folder.resolve("good.json5"), String.format(SETUP, 0, 1));
        assertEquals(0, end(start("e", "check", good.toString())));
    }

    @Test
    void portInUseEndsWithTwoAndNothingStarted() throws Exception {
        try (ServerSocket taken =
                new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            Path file =
                    Files.writeString(
                            folder.resolve("i.json5"),
                            String.format(SETUP, taken.getLocalPort(), 1));
            assertEquals(2, end(start("a", "initiator", "--config", file.toString())));
            assertTrue(
                    err("a").contains("cannot listen at 127.0.0.1:" + taken.getLocalPort()),
                    err("a"));
        }
    }

    /**
     * A real SIGKILL in mid-load, a start with nothing but the list, and a real SIGTERM in
     * mid-load.
     */
    @Test
    void killedUnderLoadItComesBackAndAskedToLeaveItAnswersAll() throws Exception {
        start("target", "target", "--id", "a", "--shard", "0");
        start("discovery", "discovery", "--target", "a=0@127.0.0.1:" + portOf("target"));
        Path file =
                Files.writeString(
                        folder.resolve("i.json5"), String.format(SETUP, 0, portOf("discovery")));
        Process first = start("first", "initiator", "--config", file.toString());
        int port = portOf("first");
        Process load =
                start(
                        "load",
                        "load",
                        "--config",
                        file.toString(),
                        "--initiator",
                        "127.0.0.1:" + port,
                        "--shards",
                        "1",
                        "--rate",
                        "100",
                        "--seconds",
                        "8",
                        "--abandon-millis",
                        "2000");
        Thread.sleep(2500);
        first.destroyForcibly();
        end(first);
        Files.writeString(
                file, String.format(SETUP, port, 1)); // no discovery now: only the list it kept
        Process second = start("second", "initiator", "--config", file.toString());
        portOf("second");
        assertTrue(err("second").contains("1 targets known from before"), err("second"));
        Thread.sleep(2000);
        second.destroy();
        assertEquals(143, end(second));
        String left =
                err("second").lines().filter(l -> l.contains("has left")).findFirst().orElse("");
        assertTrue(left.contains("answered=") && !left.contains("unanswered"), err("second"));
        assertEquals(0, end(load), "every access of the clients came to an end: " + out("load"));
    }
}
