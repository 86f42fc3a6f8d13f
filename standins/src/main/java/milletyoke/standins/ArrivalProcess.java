package milletyoke.standins;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import milletyoke.wire.ExecutionEnvironment;

/**
 * Generates request arrivals. An open loop sends requests at a rate, independently of responses; in
 * a closed loop each client sends its next request after the previous one has ended; a replay sends
 * captured requests at their recorded times. On the real clock an open loop runs on a dedicated
 * thread; everything else runs on the executor.
 */
final class ArrivalProcess {
    private final LoadProfile profile;
    private final ExecutionEnvironment environment;
    private final DelayedTasks tasks;
    private final RequestGenerator requests;
    private final Consumer<ClientRequest> submit;
    private final BooleanSupplier isStopped;
    private final Thread openLoop;

    /** When the next request is due; only used by the thread that generates arrivals. */
    private long dueMicros;

    private long startedAtMicros;
    private int replayedCount;

    /**
     * @param submit called with each request when it arrives
     * @param isStopped whether to generate no further requests
     */
    ArrivalProcess(
            LoadProfile profile,
            ExecutionEnvironment environment,
            DelayedTasks tasks,
            RequestGenerator requests,
            Consumer<ClientRequest> submit,
            BooleanSupplier isStopped) {
        this.profile = profile;
        this.environment = environment;
        this.tasks = tasks;
        this.requests = requests;
        this.submit = submit;
        this.isStopped = isStopped;
        openLoop = new Thread(this::runOpenLoop, "load-arrivals");
        openLoop.setDaemon(true);
    }

    void start() {
        startedAtMicros = environment.monotonicMicros();
        dueMicros = startedAtMicros;
        if (!profile.trace().isEmpty()) {
            tasks.execute(this::replayDueRequests);
        } else if (isClosedLoop()) {
            startClosedLoop();
        } else if (environment.isVirtual()) {
            scheduleNextArrival();
        } else {
            openLoop.start();
        }
    }

    /** Waits for the open loop's thread to end; returns immediately if it was never started. */
    void awaitEnd() throws InterruptedException {
        openLoop.join();
    }

    /** Schedules the next request of a closed-loop client after its think time. */
    void onFinished(ClientRequest request) {
        if (isClosedLoop()) {
            scheduleClosedLoopRequest(
                    profile.volumes().indexOf(request.volume()), profile.thinkTimeMicros());
        }
    }

    private boolean isClosedLoop() {
        return profile.closedLoopClients() > 0;
    }

    private void runOpenLoop() {
        while (!isStopped.getAsBoolean()) {
            dueMicros += requests.drawInterarrivalMicros();
            long waitMicros = dueMicros - environment.monotonicMicros();
            if (waitMicros > 0) {
                LockSupport.parkNanos(waitMicros * 1000);
            }
            submitRequest(requests.drawVolume());
        }
    }

    /** Runs the open loop in virtual time, with one timer per request. */
    private void scheduleNextArrival() {
        dueMicros += requests.drawInterarrivalMicros();
        tasks.schedule(
                () -> {
                    if (!isStopped.getAsBoolean()) {
                        submitRequest(requests.drawVolume());
                        scheduleNextArrival();
                    }
                },
                dueMicros - environment.monotonicMicros());
    }

    private void startClosedLoop() {
        for (int client = 0; client < profile.closedLoopClients(); client++) {
            scheduleClosedLoopRequest(
                    client % profile.volumes().size(), requests.drawStartDelayMicros());
        }
    }

    /**
     * Schedules the next request of a closed-loop client, always to the same volume. Its latencies
     * include every stall, but it sends fewer requests while it waits: a closed loop measures
     * throughput, an open loop the latency that users see (Schroeder, Wierman and Harchol-Balter,
     * NSDI 2006).
     */
    private void scheduleClosedLoopRequest(int volumeIndex, long delayMicros) {
        tasks.schedule(
                () -> {
                    if (!isStopped.getAsBoolean()) {
                        synchronized (this) {
                            dueMicros = environment.monotonicMicros();
                            submitRequest(volumeIndex);
                        }
                    }
                },
                delayMicros);
    }

    /** Submits the captured requests that are due, and schedules itself for the next one. */
    private void replayDueRequests() {
        while (!isStopped.getAsBoolean() && replayedCount < profile.trace().size()) {
            LoadProfile.TracedRequest next = profile.trace().get(replayedCount);
            dueMicros = startedAtMicros + next.offsetMicros();
            if (dueMicros > environment.monotonicMicros()) {
                tasks.schedule(this::replayDueRequests, dueMicros - environment.monotonicMicros());
                return;
            }
            replayedCount++;
            submit.accept(requests.replay(next, dueMicros));
        }
    }

    private void submitRequest(int volumeIndex) {
        submit.accept(requests.drawRequest(dueMicros, volumeIndex));
    }
}
