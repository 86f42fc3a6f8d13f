package milletyoke.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Callable;
import milletyoke.gateway.config.ConfigException;
import milletyoke.platform.process.InitiatorProcess;
import milletyoke.standins.http.ScriptedHttpServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/**
 * The command {@code practise}: a training run for the JVM's class archive. The process serves a
 * few requests of its own over loopback and exits. The build runs it once with {@code
 * -XX:ArchiveClassesAtExit}; starting the program from that archive takes a fraction of the time.
 */
@Command(
        name = ArchiveTraining.NAME,
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Serves a few requests of its own over loopback and exits;"
                        + " the build runs it to create the class archive.")
final class ArchiveTraining implements Callable<Integer> {
    /** The build command in deploy/balancer.toml uses this name. */
    static final String NAME = "practise";

    private static final int REQUESTS = 200;
    private static final byte[] SUCCESS = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);

    private static final String ENDPOINT_LIST =
            "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"t\",\"endpoint\":\"127.0.0.1:PORT\","
                    + "\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\"state\":\"up\","
                    + "\"capacity_hint\":1.0,\"boot_ms\":0}]}";

    private static final String CONFIG =
            "{\"name\":\"practise\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:PORT\","
                    + "\"seed\":\"1\",\"limits\":{},\"known\":KNOWN,"
                    + "\"settings\":{\"balancers\":1,\"classes\":[{\"name\":\"c\","
                    + "\"effect\":\"pure\",\"aim\":400000,\"points\":1}],"
                    + "\"policies\":[{\"name\":\"p\",\"weight\":1,\"reservation\":1}],"
                    + "\"limits\":{\"maxAttempts\":3,\"probes\":true,\"retryAfter\":true}}}";

    @Override
    public Integer call() throws IOException, ConfigException {
        try (ScriptedHttpServer target =
                new ScriptedHttpServer(
                        "target",
                        (connection, request) ->
                                ScriptedHttpServer.answer(connection, 200, request.body()))) {
            String endpointList = ENDPOINT_LIST.replace("PORT", Integer.toString(target.port()));
            try (ScriptedHttpServer registry =
                    new ScriptedHttpServer(
                            "registry",
                            (connection, request) -> {
                                // A watch, whose request names a start revision, stays open without
                                // a response.
                                if (!request.target().contains("from")) {
                                    ScriptedHttpServer.answer(
                                            connection,
                                            200,
                                            endpointList.getBytes(StandardCharsets.UTF_8));
                                }
                            })) {
                return serve(registry.port(), endpointList);
            }
        }
    }

    private static int serve(int registryPort, String endpointList)
            throws IOException, ConfigException {
        Path config = Files.createTempFile("practise", ".json");
        Files.writeString(
                config,
                CONFIG.replace("PORT", Integer.toString(registryPort))
                        .replace("KNOWN", endpointList));
        InitiatorProcess process = InitiatorProcess.start(config);
        int succeeded = 0;
        for (int number = 0; number < REQUESTS; number++) {
            succeeded += sendRequest(process.port(), number) ? 1 : 0;
        }
        process.kill();
        Files.delete(config);
        System.out.println(succeeded + " of " + REQUESTS + " requests succeeded");
        return succeeded > 0 ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** Sends one request on its own connection: a write if the number is even, else a read. */
    private static boolean sendRequest(int port, int number) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            boolean isWrite = number % 2 == 0;
            String body = isWrite ? "x".repeat(number) : "";
            String request = request(isWrite ? "PUT" : "GET", number, body);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] statusLine = in.readNBytes(SUCCESS.length);
            in.readAllBytes();
            return Arrays.equals(statusLine, SUCCESS);
        }
    }

    private static String request(String method, int number, String body) {
        return method
                + " /api HTTP/1.1\r\nHost: a\r\nX-Txn: "
                + number
                + "\r\nX-Lane: c\r\nX-Plan: p\r\nCookie: key=0000000000000001\r\nX-Remaining: 0.500\r\n"
                + "X-IO: volume=0000000000000001,units=1,shard=0,hosts=1\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
