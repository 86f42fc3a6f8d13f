package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The initiator: a process that the line `run` of the deploy file starts. */
final class Gateway implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PORT = Pattern.compile("accepts requests at 127.0.0.1:(\\d+)");

    /** The settings of the site port-of-spain, in the platform's names. */
    static final String SETTINGS =
            "{\"balancers\":3,\"me\":0,\"registryMode\":\"automatic\",\"classes\":["
                    + "{\"name\":\"squad-read\",\"effect\":\"pure\",\"aim\":400000,"
                    + "\"deadline\":2500000,\"points\":2},"
                    + "{\"name\":\"transfer-write\",\"effect\":\"side_effect\",\"aim\":500000,"
                    + "\"deadline\":4000000,\"points\":2},"
                    + "{\"name\":\"league-export\",\"effect\":\"pure\",\"aim\":2000000,"
                    + "\"deadline\":6000000,\"points\":1}],"
                    + "\"policies\":[{\"name\":\"club\",\"weight\":2,\"reservation\":0},"
                    + "{\"name\":\"premier\",\"weight\":3,\"reservation\":0}],"
                    + "\"limits\":{\"maxAttempts\":3,\"probes\":true,\"mayCancel\":true,"
                    + "\"retryAfter\":true,\"maxRetryAfter\":500000,\"secondCopies\":false,"
                    + "\"connIdle\":30000000,\"connectTimeout\":250000},"
                    + "\"rules\":{\"answerSlack\":0,\"drainGrace\":500000,\"coldShare\":0.4,"
                    + "\"cold\":10000000,\"fall\":1000000,\"tipMultiple\":2},"
                    + "\"specifics\":{\"shards\":16,\"usualUnits\":2,\"coldBears\":20}}";

    final Process process;
    final Path log;
    private final Path folder;
    private int port;
    private Process shell;

    Gateway(Discovery discovery, String settings) throws Exception {
        folder = Files.createTempDirectory("review");
        log = folder.resolve("log.txt");
        Path config = folder.resolve("config.json");
        Files.createDirectory(folder.resolve("tmp"));
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                        + discovery.address()
                        + "\",\"seed\":\""
                        + Long.toHexString(System.nanoTime())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":"
                        + discovery.list()
                        + ",\"settings\":"
                        + settings
                        + "}");
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line run");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_NAME", "n1");
        builder.environment().put("LB_LISTEN", "127.0.0.1:0");
        builder.environment().put("LB_DISCOVERY", discovery.address());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    int port() {
        return port;
    }

    /** Waits until the initiator answers the readiness check with 200. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 300; i++) {
            Matcher bound = PORT.matcher(Files.exists(log) ? Files.readString(log) : "");
            if (bound.find()) {
                port = Integer.parseInt(bound.group(1));
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.setSoTimeout(5_000);
                    socket.getOutputStream()
                            .write(Http.bytes("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"));
                    Http.Message answer =
                            Http.read(new BufferedInputStream(socket.getInputStream()));
                    if (answer != null && answer.status() == 200) {
                        return;
                    }
                }
            }
            Thread.sleep(100);
        }
        throw new IOException("the initiator is not ready: " + Files.readString(log));
    }

    /** Sends a signal to the process, by a shell that was started before and is quick. */
    synchronized void signal(String name) throws IOException {
        if (shell == null) {
            shell = new ProcessBuilder("/bin/sh").start();
        }
        shell.getOutputStream()
                .write(Http.bytes("kill -" + name + " " + process.pid() + "\n"));
        shell.getOutputStream().flush();
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
        if (shell != null) {
            shell.destroyForcibly().waitFor();
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
