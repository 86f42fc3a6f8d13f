package milletyoke.cli;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Callable;
import milletyoke.platform.process.InitiatorProcess;
import milletyoke.standins.http.ScriptedHttpServer;
import picocli.CommandLine.Command;

/**
 * Serves itself a few accesses on loopback and ends. Run once by the build with the JVM told to
 * keep an archive of the classes that were loaded, from which the program then starts in a fraction
 * of the time.
 */
@Command(
        name = "practise",
        hidden = true,
        mixinStandardHelpOptions = true,
        description =
                "Serves itself a few accesses on loopback and ends; the build makes its class archive so.")
final class ArchiveTraining implements Callable<Integer> {
    private static final int ACCESSES = 200;

    @Override
    public Integer call() throws Exception {
        try (ScriptedHttpServer target =
                new ScriptedHttpServer(
                        "target", (c, m) -> ScriptedHttpServer.answer(c, 200, m.body()))) {
            String list =
                    "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"t\",\"endpoint\":\"127.0.0.1:"
                            + target.port()
                            + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}]}";
            try (ScriptedHttpServer registry =
                    new ScriptedHttpServer(
                            "registry",
                            (c, m) -> {
                                if (!m.target().contains("from")) {
                                    ScriptedHttpServer.answer(
                                            c, 200, list.getBytes(StandardCharsets.UTF_8));
                                }
                            })) {
                return serve(registry.port(), list);
            }
        }
    }

    private int serve(int registry, String known) throws Exception {
        Path config = Files.createTempFile("practise", ".json");
        Files.writeString(
                config,
                "{\"name\":\"practise\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + registry
                        + "\",\"seed\":\"1\",\"limits\":{},\"known\":"
                        + known
                        + ",\"settings\":{\"balancers\":1,\"classes\":[{\"name\":\"c\","
                        + "\"effect\":\"pure\",\"aim\":400000,\"points\":1}],\"policies\":[{\"name\":\"p\",\"weight\":1,\"reservation\":1}],"
                        + "\"limits\":{\"maxAttempts\":3,\"probes\":true,\"retryAfter\":true}}}");
        int answered = 0;
        InitiatorProcess service = InitiatorProcess.start(config);
        for (int i = 0; i < ACCESSES; i++) {
            answered += ask(service.port(), i) ? 1 : 0;
        }
        service.kill();
        Files.delete(config);
        System.out.println(answered + " of " + ACCESSES + " answered");
        return answered > 0 ? 0 : 1;
    }

    private static boolean ask(int port, int i) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            String body = "x".repeat(i);
            socket.getOutputStream()
                    .write(
                            ((i % 2 == 0 ? "PUT" : "GET")
                                            + " /api HTTP/1.1\r\nHost: a\r\nX-Txn: "
                                            + i
                                            + "\r\nX-Lane: c\r\nX-Plan: p\r\nCookie: key=0000000000000001\r\nX-Remaining: 0.500\r\n"
                                            + "X-IO: volume=0000000000000001,units=1,shard=0,hosts=1\r\nConnection: close\r\nContent-Length: "
                                            + (i % 2 == 0 ? i : 0)
                                            + "\r\n\r\n"
                                            + (i % 2 == 0 ? body : ""))
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] start = in.readNBytes(12);
            in.readAllBytes();
            return Arrays.equals(start, "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII));
        }
    }
}
