package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.standins.http.ScriptedHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** {@code serve} as a process of the platform: its file, its signals, what it ends with. */
@Timeout(120)
class ServeProcessTest {
    private static final String CONFIG =
            """
            {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":256},
             "known":{"rev":1,"all":true,"targets":[{"uid":"t","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":0,
               "state":"up","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"balancers":1,"classes":[{"name":"c","effect":"pure","aim":400000,"deadline":1000000,"points":1}],
               "policies":[{"name":"p","weight":1}],"limits":{"maxAttempts":3}}}
            """;

    @TempDir Path folder;

    private final List<Process> started = new ArrayList<>();

    private Process start(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder command =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "milletyoke.cli.Main",
                        "serve");
        command.environment().put("LB_CONFIG", file.toString());
        Process process =
                command.redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile())
                        .start();
        started.add(process);
        return process;
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private Matcher waitFor(Process process, String pattern) throws Exception {
        Matcher found = Pattern.compile(pattern).matcher(log());
        while (!found.find()) {
            assertTrue(process.isAlive(), log());
            Thread.sleep(10);
            found = Pattern.compile(pattern).matcher(log());
        }
        return found;
    }

    private static String ready(int port) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(
                            "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }

    @AfterEach
    void stopAll() {
        started.forEach(Process::destroyForcibly);
    }

    @Test
    void aFileThatCannotBeUsedEndsItWithTwoAndOneLine() throws Exception {
        Process process = start(CONFIG.replace("\"pure\"", "\"perhaps\""));
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(1, log().lines().count(), log());
        assertTrue(log().contains("settings.classes[0].effect"), log());
    }

    @Test
    void hupReadsTheFileAgainAndTermEndsIt() throws Exception {
        Process process = start(CONFIG);
        int port =
                Integer.parseInt(waitFor(process, "takes accesses at 127.0.0.1:(\\d+)").group(1));
        while (!ready(port).endsWith("200")) {
            Thread.sleep(10);
        }
        Files.writeString(
                folder.resolve("config.json"),
                CONFIG.replace("127.0.0.1:1\",\"seed", "127.0.0.1:2\",\"seed"));
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        waitFor(process, "read again; discovery is at 127.0.0.1:2");
        Files.writeString(folder.resolve("config.json"), "{");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        waitFor(process, "cannot be used and the old one holds");
        assertTrue(ready(port).endsWith("200"));
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log());
    }

    /**
     * The system itself allows no more descriptors than the file says, and idle clients take all
     * that they are given: discovery is reached again, a target is dialled, and an access is
     * served.
     */
    @Test
    void idleClientsKeepNobodyFromDiscoveryOrTargets() throws Exception {
        List<Socket> idle = new ArrayList<>();
        try (ScriptedHttpServer target =
                        new ScriptedHttpServer(
                                "target",
                                (c, m) -> ScriptedHttpServer.answer(c, 200, "served".getBytes()));
                ScriptedHttpServer discovery =
                        new ScriptedHttpServer(
                                "discovery",
                                (c, m) -> {
                                    if (!m.target().contains("from")) {
                                        ScriptedHttpServer.answer(
                                                c,
                                                200,
                                                ("{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"t\",\"endpoint\":\"127.0.0.1:"
                                                                + target.port()
                                                                + "\",\"pod_group\":0,\"state\":\"up\"}]}")
                                                        .getBytes());
                                    }
                                })) {
            Path file =
                    Files.writeString(
                            folder.resolve("config.json"),
                            CONFIG.replace(
                                    "127.0.0.1:1\",\"seed",
                                    "127.0.0.1:" + discovery.port() + "\",\"seed"));
            ProcessBuilder command =
                    new ProcessBuilder(
                            "/bin/sh",
                            "-c",
                            "ulimit -n 256; exec \"$0\" -XX:+UseSerialGC -cp \"$1\""
                                    + " milletyoke.cli.Main serve",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            System.getProperty("java.class.path"));
            command.environment().put("LB_CONFIG", file.toString());
            Process process =
                    command.redirectErrorStream(true)
                            .redirectOutput(folder.resolve("log").toFile())
                            .start();
            started.add(process);
            int port =
                    Integer.parseInt(
                            waitFor(process, "takes accesses at 127.0.0.1:(\\d+)").group(1));
            while (!ready(port).endsWith("200")) {
                Thread.sleep(10);
            }
            for (int i = 0; i < 600; i++) {
                idle.add(new Socket("127.0.0.1", port));
            }
            int calls = discovery.requests().size();
            discovery.open().forEach(c -> c.close("cut"));
            while (discovery.requests().size() < calls + 2) {
                assertTrue(process.isAlive(), log());
                Thread.sleep(5);
            }
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.setSoTimeout(30_000);
                client.getOutputStream()
                        .write(
                                ("GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Lane: c\r\nX-Plan: p\r\nCookie:"
                                                + " key=7f3a9c21e0b4d655\r\nX-Remaining: 20.0\r\nX-IO: volume=00000003b4d60021,units=1,shard=0,hosts=1"
                                                + "\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                assertEquals(
                        "HTTP/1.1 200",
                        new String(
                                client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
            }
        } finally {
            for (Socket s : idle) {
                s.close();
            }
        }
    }
}
