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

/** Tests exit codes and the effects of SIGKILL and SIGTERM with commands run as processes. */
@Timeout(120)
class ProcessTest {
    private static final String CONFIG =
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

    private int awaitPort(String name) throws Exception {
        for (int attempt = 0; attempt < 3000; attempt++) {
            String text = out(name).trim();
            if (text.contains("at port ")) {
                return Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1));
            }
            Thread.sleep(10);
        }
        throw new AssertionError(name + " printed no port within 30 s: " + err(name));
    }

    @AfterEach
    void stopAll() {
        processes.stopAll();
    }

    @Test
    void usageErrorExitsWithTwoAndPrintsOneLine() throws Exception {
        Path invalid =
                Files.writeString(
                        folder.resolve("bad.json5"),
                        String.format(CONFIG, 0, 1).replace("\"1 s\"", "1"));
        assertEquals(2, awaitExit(start("a", "initiator", "--config", invalid.toString())));
        assertTrue(
                err("a").contains(
                                "bad.json5:3: deployment.categories[0].agreedTime: a time with its unit"),
                err("a"));
        assertEquals(1, err("a").lines().count(), err("a"));
        assertEquals(2, awaitExit(start("b", "initiator", "--config", "no-such-file")));
        assertEquals(2, awaitExit(start("c", "frobnicate")));
        assertEquals(2, awaitExit(start("d", "rehearse", "no-such.day")));
        assertEquals(2, awaitExit(start("d-renamed", "scenario", "no-such.day")));
        Path valid = Files.writeString(folder.resolve("good.json5"), String.format(CONFIG, 0, 1));
        assertEquals(0, awaitExit(start("e", "check", valid.toString())));
    }

    @Test
    void portInUseExitsWithTwoAndStartsNothing() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path file =
                    Files.writeString(
                            folder.resolve("i.json5"),
                            String.format(CONFIG, occupied.getLocalPort(), 1));
            assertEquals(2, awaitExit(start("a", "initiator", "--config", file.toString())));
            assertTrue(
                    err("a").contains("cannot listen at 127.0.0.1:" + occupied.getLocalPort()),
                    err("a"));
        }
    }

    /**
     * Covers SIGKILL under load, a start from the stored endpoint list alone, and SIGTERM under
     * load.
     */
    @Test
    void initiatorRestartsAfterKillAndAnswersEveryRequestOnShutdown() throws Exception {
        start("target", "target", "--id", "a", "--shard", "0");
        start("discovery", "discovery", "--target", "a=0@127.0.0.1:" + awaitPort("target"));
        Path file =
                Files.writeString(
                        folder.resolve("i.json5"),
                        String.format(CONFIG, 0, awaitPort("discovery")));
        Process first = start("first", "initiator", "--config", file.toString());
        int port = awaitPort("first");
        Process load = startLoad(file, port);
        Thread.sleep(2500);
        first.destroyForcibly();
        awaitExit(first);
        // The new configuration names an unreachable discovery: only the stored endpoint list is
        // left.
        Files.writeString(file, String.format(CONFIG, port, 1));
        Process second = start("second", "initiator", "--config", file.toString());
        awaitPort("second");
        assertTrue(
                err("second").contains("1 targets in the last known endpoint list"), err("second"));
        Thread.sleep(2000);
        second.destroy();
        assertEquals(143, awaitExit(second));
        String shutdownLine =
                err("second")
                        .lines()
                        .filter(line -> line.contains("has left"))
                        .findFirst()
                        .orElse("");
        assertTrue(
                shutdownLine.contains("answered=") && !shutdownLine.contains("unanswered"),
                err("second"));
        assertEquals(0, awaitExit(load), "a client request was not completed: " + out("load"));
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
