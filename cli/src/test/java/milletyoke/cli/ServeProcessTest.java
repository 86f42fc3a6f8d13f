package milletyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
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

/** Tests the configuration file, signals and exit codes of {@code serve}, run as a process. */
@Timeout(120)
class ServeProcessTest {
    private static final String CONFIG =
            """
            {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":256},
             "known":{"rev":1,"all":true,"targets":[{"uid":"t","endpoint":"127.0.0.1:1","az":"a","model":"m",
               "pod_group":0,"state":"up","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"balancers":1,
               "classes":[{"name":"c","effect":"pure","aim":400000,"deadline":1000000,"points":1}],
               "policies":[{"name":"p","weight":1}],"limits":{"maxAttempts":3}}}
            """;

    @TempDir Path folder;

    private final ChildProcesses processes = new ChildProcesses();

    private Process start(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        return serve(new ProcessBuilder(ChildProcesses.commandLine("serve")), file);
    }

    /** Starts {@code serve} with standard output and standard error in one log file. */
    private Process serve(ProcessBuilder command, Path config) throws IOException {
        command.environment().put("LB_CONFIG", config.toString());
        return processes.start(
                command.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()));
    }

    /** Waits until the process accepts requests, and returns its port. */
    private int awaitPort(Process process) throws Exception {
        Matcher line = waitFor(process, "accepts requests at 127.0.0.1:(\\d+)");
        return Integer.parseInt(line.group(1));
    }

    private static void awaitReady(int port) throws Exception {
        while (!readinessStatus(port).endsWith("200")) {
            Thread.sleep(10);
        }
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

    private static String readinessStatus(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream()
                    .write(
                            "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }

    @AfterEach
    void stopAll() {
        processes.stopAll();
    }

    @Test
    void unusableConfigExitsWithTwoAndPrintsOneLine() throws Exception {
        Process process = start(CONFIG.replace("\"pure\"", "\"perhaps\""));
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(1, log().lines().count(), log());
        assertTrue(log().contains("settings.classes[0].effect"), log());
    }

    @Test
    void hangupReloadsTheConfigAndTerminationExitsCleanly() throws Exception {
        Process process = start(CONFIG);
        int port = awaitPort(process);
        awaitReady(port);
        Files.writeString(
                folder.resolve("config.json"),
                CONFIG.replace("127.0.0.1:1\",\"seed", "127.0.0.1:2\",\"seed"));
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        waitFor(process, "configuration reloaded discovery=127.0.0.1:2");
        Files.writeString(folder.resolve("config.json"), "{");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        waitFor(process, "invalid configuration ignored, the previous one stays in use");
        assertTrue(readinessStatus(port).endsWith("200"));
        process.destroy();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log());
    }

    /**
     * Guards against idle clients using up the descriptors that discovery and targets need. The
     * process has only as many descriptors as the configuration states, and idle clients take all
     * that clients may use; still, the initiator reconnects to discovery and serves a request.
     */
    @Test
    void idleClientsDoNotBlockDiscoveryOrTargets() throws Exception {
        List<Socket> idleClients = new ArrayList<>();
        try (ScriptedHttpServer target = startTarget();
                ScriptedHttpServer discovery = startDiscovery(target.port(), "up", 1)) {
            Path file =
                    Files.writeString(
                            folder.resolve("config.json"),
                            CONFIG.replace(
                                    "127.0.0.1:1\",\"seed",
                                    "127.0.0.1:" + discovery.port() + "\",\"seed"));
            Process process = serve(withDescriptorLimit(256), file);
            int port = awaitPort(process);
            awaitReady(port);
            for (int client = 0; client < 600; client++) {
                idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
            int requestsBefore = discovery.requests().size();
            discovery.open().forEach(connection -> connection.close("cut"));
            while (discovery.requests().size() < requestsBefore + 2) {
                assertTrue(process.isAlive(), log());
                Thread.sleep(5);
            }
            assertEquals("HTTP/1.1 200", sendRequest(port));
        } finally {
            for (Socket socket : idleClients) {
                socket.close();
            }
        }
    }

    /**
     * The parent ignores SIGHUP, as nohup does, and so does the child. A new configuration moves
     * discovery, whose list at the new address drains the only target: nothing more is sent there.
     */
    @Test
    void aNewConfigurationIsAppliedIfHangupIsIgnored() throws Exception {
        try (ScriptedHttpServer target = startTarget();
                ScriptedHttpServer discovery = startDiscovery(target.port(), "up", 1);
                ScriptedHttpServer moved = startDiscovery(target.port(), "draining", 2)) {
            String config =
                    CONFIG.replace(
                            "127.0.0.1:1\",\"seed", "127.0.0.1:" + discovery.port() + "\",\"seed");
            Path file = Files.writeString(folder.resolve("config.json"), config);
            Process process = serve(withIgnoredSignals("HUP"), file);
            int port = awaitPort(process);
            awaitReady(port);
            assertEquals("HTTP/1.1 200", sendRequest(port));
            Files.writeString(
                    file,
                    config.replace(discovery.port() + "\",\"seed", moved.port() + "\",\"seed"));
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            waitFor(process, "configuration reloaded discovery=127.0.0.1:" + moved.port());
            while (readinessStatus(port).endsWith("200")) {
                Thread.sleep(10); // until the list of the new address was received
            }
            assertEquals("HTTP/1.1 503", sendRequest(port));
            assertEquals(1, target.requests().size());
            assertTrue(log().contains("SIGHUP was ignored"), log());
        }
    }

    @Test
    void anIgnoredTerminationIsReportedAtTheStart() throws Exception {
        Process process =
                serve(
                        withIgnoredSignals("TERM"),
                        Files.writeString(folder.resolve("config.json"), CONFIG));
        awaitPort(process);
        assertTrue(log().contains("SIGTERM was ignored"), log());
    }

    private static ScriptedHttpServer startTarget() throws IOException {
        byte[] body = "served".getBytes(StandardCharsets.UTF_8);
        return new ScriptedHttpServer(
                "target",
                (connection, request) -> ScriptedHttpServer.answer(connection, 200, body));
    }

    /**
     * Starts a discovery with one target. It sends no response to a watch, which names a revision.
     */
    private static ScriptedHttpServer startDiscovery(int targetPort, String state, int revision)
            throws IOException {
        String endpointList =
                "{\"rev\":"
                        + revision
                        + ",\"all\":true,\"targets\":[{\"uid\":\"t\",\"endpoint\":\"127.0.0.1:"
                        + targetPort
                        + "\",\"pod_group\":0,\"state\":\""
                        + state
                        + "\"}]}";
        byte[] body = endpointList.getBytes(StandardCharsets.UTF_8);
        return new ScriptedHttpServer(
                "discovery",
                (connection, request) -> {
                    if (!request.target().contains("from")) {
                        ScriptedHttpServer.answer(connection, 200, body);
                    }
                });
    }

    private static ProcessBuilder withDescriptorLimit(int descriptors) {
        return serveAfter("ulimit -n " + descriptors);
    }

    private static ProcessBuilder withIgnoredSignals(String signals) {
        return serveAfter("trap '' " + signals);
    }

    /** Returns a shell that runs a command and then becomes {@code serve}. */
    private static ProcessBuilder serveAfter(String shellCommand) {
        return new ProcessBuilder(
                "/bin/sh",
                "-c",
                shellCommand
                        + "; exec \"$0\" -XX:+UseSerialGC -cp \"$1\" milletyoke.cli.Main serve",
                ChildProcesses.JAVA,
                System.getProperty("java.class.path"));
    }

    /** Sends one request and returns the start of the response's status line. */
    private static String sendRequest(int port) throws IOException {
        String request =
                "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Lane: c\r\nX-Plan: p\r\n"
                        + "Cookie: key=7f3a9c21e0b4d655\r\nX-Remaining: 20.0\r\n"
                        + "X-IO: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n";
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(30_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }
}
