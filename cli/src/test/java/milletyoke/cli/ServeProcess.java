package milletyoke.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import milletyoke.standins.http.ScriptedHttpServer;

/** A running {@code serve} process with targets and a discovery of its own, on loopback. */
final class ServeProcess implements AutoCloseable {
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final String FIRST_THREAD = "n1-io";
    private static final Pattern LISTENING =
            Pattern.compile("accepts requests at 127.0.0.1:(\\d+)");

    private final Path folder;
    private final long longestDeadlineMillis;
    private final ChildProcesses processes = new ChildProcesses();
    private final RestartTargets targets;
    private final ScriptedHttpServer discovery;
    private final Process process;
    private int port;

    /**
     * Starts a process and returns at once.
     *
     * @param folder where configuration and log of the process are written
     */
    ServeProcess(Path folder, long longestDeadlineMillis) throws IOException {
        this.folder = folder;
        this.longestDeadlineMillis = longestDeadlineMillis;
        targets = new RestartTargets();
        discovery = startDiscovery(targets);
        process = start();
    }

    Process process() {
        return process;
    }

    RestartTargets targets() {
        return targets;
    }

    /** Waits until the process listens, and returns its port. */
    int awaitPort() throws Exception {
        port = Integer.parseInt(awaitLog(LISTENING).group(1));
        return port;
    }

    private Process start() throws IOException {
        ProcessBuilder command = new ProcessBuilder(ChildProcesses.commandLine("serve"));
        command.command().addAll(1, List.of("-Xmx64m", "-XX:TieredStopAtLevel=1"));
        command.environment().put("LB_CONFIG", writeConfig(1).toString());
        command.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        return processes.start(command);
    }

    /** Writes the configuration, with a weight of the only service plan. */
    Path writeConfig(int planWeight) throws IOException {
        String config =
                """
                {"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
                 "known":%s,
                 "settings":{"balancers":1,
                   "classes":[
                     {"name":"read","effect":"pure","aim":100000,"deadline":%d,"points":1},
                     {"name":"mark","effect":"token","dedupScope":"all","repeatWindow":1000000,"aim":100000,
                      "deadline":100000,"points":1},
                     {"name":"order","effect":"side_effect","aim":100000,"deadline":100000,"points":1}],
                   "policies":[{"name":"p","weight":%d}],
                   "rules":{"answerSlack":8000,"drainGrace":500000},
                   "limits":{"maxAttempts":3,"mayCancel":true,"retryAfter":true,"maxRetryAfter":500000,
                     "connectTimeout":250000}}}
                """
                        .formatted(
                                discovery.port(),
                                targets.endpointList(),
                                TimeUnit.MILLISECONDS.toMicros(longestDeadlineMillis),
                                planWeight);
        return Files.writeString(folder.resolve("config.json"), config);
    }

    /** Starts a discovery that sends the whole list and no response to a watch. */
    private static ScriptedHttpServer startDiscovery(RestartTargets targets) throws IOException {
        byte[] body = targets.endpointList().getBytes(StandardCharsets.US_ASCII);
        return new ScriptedHttpServer(
                "discovery",
                (connection, request) -> {
                    if (!request.target().contains("from")) {
                        ScriptedHttpServer.answer(connection, 200, body);
                    }
                });
    }

    /** Returns what the process logged so far. */
    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private Matcher awaitLog(Pattern pattern) throws Exception {
        long untilNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        Matcher found = pattern.matcher(log());
        while (!found.find()) {
            if (!process.isAlive() || System.nanoTime() > untilNanos) {
                throw new TimeoutException("no line matches " + pattern + ": " + log());
            }
            Thread.sleep(5);
            found = pattern.matcher(log());
        }
        return found;
    }

    /** Waits for a thread that starts after the signal handlers and before the process listens. */
    void awaitSignalHandlers() throws Exception {
        Path threads = Path.of("/proc", Long.toString(process.pid()), "task");
        long untilNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!hasThread(threads, FIRST_THREAD)) {
            if (!process.isAlive() || System.nanoTime() > untilNanos) {
                throw new TimeoutException("the process has no thread " + FIRST_THREAD);
            }
            Thread.sleep(1);
        }
    }

    private static boolean hasThread(Path threads, String namePrefix) throws IOException {
        try (Stream<Path> all = Files.list(threads)) {
            return all.anyMatch(thread -> name(thread).startsWith(namePrefix));
        }
    }

    private static String name(Path thread) {
        try {
            return Files.readString(thread.resolve("comm"));
        } catch (IOException ended) {
            return "";
        }
    }

    void awaitReady() throws Exception {
        long untilNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!isReady()) {
            if (System.nanoTime() > untilNanos) {
                throw new TimeoutException("the process is not ready");
            }
            Thread.sleep(10);
        }
    }

    private boolean isReady() throws IOException {
        String request = "GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] statusLine = socket.getInputStream().readNBytes(12);
            return new String(statusLine, StandardCharsets.US_ASCII).endsWith("200");
        }
    }

    @Override
    public void close() {
        processes.stopAll();
        discovery.close();
        targets.close();
    }
}
