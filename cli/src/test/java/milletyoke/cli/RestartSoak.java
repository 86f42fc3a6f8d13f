package milletyoke.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs {@code serve} as a process under load through one restart: SIGTERM, the signals of a plan,
 * and SIGKILL at the earliest moment that the platform allows.
 */
final class RestartSoak {
    private static final long WARM_UP_MILLIS = 800;

    /** How long before SIGTERM targets stop responding. */
    private static final long HANG_LEAD_MILLIS = 200;

    /** How long clients still run after the kill, to see how their connections ended. */
    private static final long CONNECTION_END_MILLIS = 350;

    /**
     * What one restart showed.
     *
     * @param violations empty if all terms were kept
     * @param log what the process logged
     */
    record Result(
            RestartPlan plan,
            List<RestartJudge.Violation> violations,
            int requestCount,
            long resetCount,
            long lateCount,
            long lateForwardedCount,
            long lateServedCount,
            boolean hasEndedByItself,
            String log) {
        List<String> violationsOf(RestartJudge.Term term) {
            return violations.stream()
                    .filter(violation -> violation.term() == term)
                    .map(violation -> "seed " + plan.seed() + ": " + violation.request())
                    .toList();
        }

        @Override
        public String toString() {
            return String.format(
                    "seed=%d deadline=%d hanging=%d clients=%d idle=%d requests=%d reset=%d late=%d"
                            + " lateForwarded=%d lateServed=%d endedByItself=%s violations=%d",
                    plan.seed(),
                    plan.longestDeadlineMillis(),
                    plan.hangingTargetCount(),
                    plan.clientCount(),
                    plan.idleClientCount(),
                    requestCount,
                    resetCount,
                    lateCount,
                    lateForwardedCount,
                    lateServedCount,
                    hasEndedByItself,
                    violations.size());
        }
    }

    private final RestartPlan plan;
    private final Path folder;
    private final List<RestartJudge.Hold> holds = new ArrayList<>();
    private final List<Socket> idleClients = new ArrayList<>();
    private int reloadCount;
    private long holdStartNanos;

    private RestartSoak(RestartPlan plan, Path folder) {
        this.plan = plan;
        this.folder = folder;
    }

    /**
     * Runs one restart.
     *
     * @param folder where configuration and log of the process are written
     */
    static Result run(RestartPlan plan, Path folder) throws Exception {
        return new RestartSoak(plan, folder).run();
    }

    private Result run() throws Exception {
        try (ServeProcess served = new ServeProcess(folder, plan.longestDeadlineMillis());
                SignalSender signals = new SignalSender()) {
            if (plan.isReloadedWhileStarting()) {
                served.awaitSignalHandlers();
                signals.send("HUP", served.process());
            }
            int port = served.awaitPort();
            served.awaitReady();
            connectIdleClients(port);
            try (RestartClients clients = new RestartClients(port, plan)) {
                Thread.sleep(WARM_UP_MILLIS);
                served.targets().hang(plan.hangingTargetCount());
                Thread.sleep(HANG_LEAD_MILLIS);
                RestartJudge.ProcessEnd end = playSignals(served, signals);
                Thread.sleep(CONNECTION_END_MILLIS);
                return judge(clients.stop(), end, served);
            }
        } finally {
            for (Socket idle : idleClients) {
                idle.close();
            }
        }
    }

    private Result judge(
            List<RestartRequest> requests, RestartJudge.ProcessEnd end, ServeProcess served)
            throws IOException {
        RestartJudge judge = new RestartJudge(end, served.targets());
        List<RestartJudge.Violation> violations = judge.findViolations(requests);
        List<RestartRequest> late = requests.stream().filter(judge::isLate).toList();
        return new Result(
                plan,
                violations,
                requests.size(),
                requests.stream()
                        .filter(request -> request.ending == RestartRequest.Ending.RESET)
                        .count(),
                late.size(),
                late.stream().filter(judge::isForwarded).count(),
                late.stream().filter(request -> request.status == 200).count(),
                end.hasEndedByItself(),
                served.log());
    }

    // ---- Signals ----

    private RestartJudge.ProcessEnd playSignals(ServeProcess served, SignalSender signals)
            throws Exception {
        Process process = served.process();
        long leadMillis = 500;
        long terminateAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leadMillis);
        long terminatedAtNanos = 0;
        for (RestartPlan.TimedSignal signal : plan.signals()) {
            if (signal.atMillis() >= 0 && terminatedAtNanos == 0) {
                terminatedAtNanos = terminate(process, terminateAtNanos);
            }
            sleepUntil(terminateAtNanos + TimeUnit.MILLISECONDS.toNanos(signal.atMillis()));
            send(signal.signal(), served, signals);
        }
        if (terminatedAtNanos == 0) {
            terminatedAtNanos = terminate(process, terminateAtNanos);
        }
        sleepUntil(terminatedAtNanos + TimeUnit.MILLISECONDS.toNanos(plan.killAtMillis()));
        boolean hasEndedByItself = !process.isAlive();
        long killedAtNanos = System.nanoTime();
        process.destroyForcibly().waitFor();
        return new RestartJudge.ProcessEnd(
                terminatedAtNanos, killedAtNanos, hasEndedByItself, holds);
    }

    private static long terminate(Process process, long atNanos) throws InterruptedException {
        sleepUntil(atNanos);
        process.destroy();
        return System.nanoTime();
    }

    private void send(String signal, ServeProcess served, SignalSender signals) throws IOException {
        if (signal.equals("HUP")) {
            reloadCount++;
            served.writeConfig(1 + reloadCount % 2);
        }
        if (signal.equals("STOP")) {
            holdStartNanos = System.nanoTime();
        }
        signals.send(signal, served.process());
        if (signal.equals("CONT")) {
            holds.add(new RestartJudge.Hold(holdStartNanos, System.nanoTime()));
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
            left = nanos - System.nanoTime();
        }
    }

    private void connectIdleClients(int port) throws IOException {
        for (int count = 0; count < plan.idleClientCount(); count++) {
            idleClients.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }
}
