package milletyoke.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.http.HttpConnection;
import milletyoke.http.HttpMessage;
import milletyoke.standins.http.ScriptedHttpServer;

/** Targets that record which requests arrive, and some of which stop responding when told to. */
final class RestartTargets implements AutoCloseable {
    private static final long SERVICE_MILLIS = 8;
    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    /** The target whose responses are as long as the platform allows, nearly. */
    static final int LARGE_RESPONSE_TARGET = RestartPlan.TARGET_COUNT - 1;

    static final int LARGE_BODY_BYTES = 60_000;
    private static final byte[] LARGE_BODY = new byte[LARGE_BODY_BYTES];

    /** The arrival of one attempt at a target. */
    record Arrival(long atNanos, double remainingSeconds) {}

    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final List<ScriptedHttpServer> servers = new ArrayList<>();
    private final ScheduledExecutorService responder = Executors.newScheduledThreadPool(1);
    private volatile int hangingCount;

    RestartTargets() throws IOException {
        for (int index = 0; index < RestartPlan.TARGET_COUNT; index++) {
            int target = index;
            servers.add(
                    new ScriptedHttpServer(
                            "target" + index,
                            (connection, request) -> receive(target, connection, request)));
        }
    }

    private void receive(int target, HttpConnection connection, HttpMessage request) {
        Arrival arrival =
                new Arrival(
                        System.nanoTime(), Double.parseDouble(request.singleHeader("x-remaining")));
        arrivals.computeIfAbsent(request.singleHeader("x-txn"), id -> new CopyOnWriteArrayList<>())
                .add(arrival);
        if (target >= hangingCount) {
            responder.schedule(
                    () ->
                            ScriptedHttpServer.answer(
                                    connection,
                                    200,
                                    target == LARGE_RESPONSE_TARGET ? LARGE_BODY : BODY),
                    SERVICE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Makes the first targets of the list stop responding to new requests. */
    void hang(int count) {
        hangingCount = count;
    }

    /** Returns the arrivals of a request's attempts; empty if it was never forwarded. */
    List<Arrival> arrivals(String transactionId) {
        return arrivals.getOrDefault(transactionId, List.of());
    }

    /** Returns the endpoint list as discovery sends it. */
    String endpointList() {
        StringBuilder list = new StringBuilder("{\"rev\":1,\"all\":true,\"targets\":[");
        for (int index = 0; index < servers.size(); index++) {
            list.append(index == 0 ? "" : ",")
                    .append("{\"uid\":\"t" + index + "\",\"endpoint\":\"127.0.0.1:")
                    .append(servers.get(index).port())
                    .append("\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":" + index)
                    .append(",\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return list.append("]}").toString();
    }

    @Override
    public void close() {
        responder.shutdownNow();
        servers.forEach(ScriptedHttpServer::close);
    }
}
