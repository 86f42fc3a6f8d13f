package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the commands as processes: their exit codes, and the effects of SIGKILL and SIGTERM. */
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

    private final ChildProcesses processes = new ChildProcesses();

    private Process start(String name, String... args) throws IOException {
        return processes.start(
                new ProcessBuilder(ChildProcesses.commandLine(args))
                        .redirectOutput(folder.resolve(name + ".out").toFile())
                        .redirectError(folder.resolve(name + ".err").toFile()));
    }

    private String out(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".out"));
    }

    private String err(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".err"));
    }

    private int awaitExit(Process process) throws InterruptedException {
        assertTrue(
                process.waitFor(60, TimeUnit.SECONDS), "the process did not end within a minute");
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
        throw new AssertionError(name + " printed no port: " + err(name));
    }

    @AfterEach
    void stopAll() {
        processes.stopAll();
    }

    @Test
    void wrongUseExitsWithTwoAndPrintsOneLine() throws Exception {
        Path bad =
                Files.writeString(
                        folder.resolve("bad.json5"),
                        String.format(SETUP, 0, 1).replace("\"1 s\"", "1"));
        assertEquals(2, awaitExit(start("a", "initiator", "--config", bad.toString())));
        assertTrue(
                err("a").contains(
                                "bad.json5:3: deployment.categories[0].agreedTime: a time with its unit"),
                err("a"));
        assertEquals(1, err("a").lines().count(), err("a"));
        assertEquals(2, awaitExit(start("b", "initiator", "--config", "no-such-file")));
        assertEquals(2, awaitExit(start("c", "frobnicate")));
        assertEquals(2, awaitExit(start("d", "rehearse", "no-such.day")));
        assertEquals(2, awaitExit(start("d-renamed", "scenario", "no-such.day")));
        Path good = Files.writeString(folder.resolve("good.json5"), String.format(SETUP, 0, 1));
        assertEquals(0, awaitExit(start("e", "check", good.toString())));
    }

    @Test
    void portInUseExitsWithTwoAndStartsNothing() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path file =
                    Files.writeString(
                            folder.resolve("i.json5"),
                            String.format(SETUP, occupied.getLocalPort(), 1));
            assertEquals(2, awaitExit(start("a", "initiator", "--config", file.toString())));
            assertTrue(
                    err("a").contains("cannot listen at 127.0.0.1:" + occupied.getLocalPort()),
                    err("a"));
        }
    }

    /** SIGKILL under load, a start from the stored endpoint list alone, and SIGTERM under load. */
    @Test
    void killedUnderLoadItRestartsAndOnShutdownItAnswersEveryRequest() throws Exception {
        start("target", "target", "--id", "a", "--shard", "0");
        start("discovery", "discovery", "--target", "a=0@127.0.0.1:" + portOf("target"));
        Path file =
                Files.writeString(
                        folder.resolve("i.json5"), String.format(SETUP, 0, portOf("discovery")));
        Process first = start("first", "initiator", "--config", file.toString());
        int port = portOf("first");
        Process load = startLoad(file, port);
        Thread.sleep(2500);
        first.destroyForcibly();
        awaitExit(first);
        // Discovery is unreachable from now on: only the stored endpoint list is left.
        Files.writeString(file, String.format(SETUP, port, 1));
        Process second = start("second", "initiator", "--config", file.toString());
        portOf("second");
        assertTrue(err("second").contains("1 targets known from before"), err("second"));
        Thread.sleep(2000);
        second.destroy();
        assertEquals(143, awaitExit(second));
        String left =
                err("second").lines().filter(l -> l.contains("has left")).findFirst().orElse("");
        assertTrue(left.contains("answered=") && !left.contains("unanswered"), err("second"));
        assertEquals(
                0, awaitExit(load), "every request of the clients was completed: " + out("load"));
    }

    private Process startLoad(Path config, int port) throws IOException {
        return start(
                "load",
                "load",
                "--config",
                config.toString(),
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
    }
}
