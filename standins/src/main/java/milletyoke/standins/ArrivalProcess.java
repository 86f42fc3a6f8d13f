package milletyoke.standins;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import milletyoke.wire.ExecutionEnvironment;

/**
 * Decides when requests arrive. An open loop sends them at a rate, whether or not earlier ones were
 * answered; a closed loop has clients that each send the next request after an answer; a replay
 * sends captured requests at their times. An open loop has a thread of its own on the real clock;
 * everything else runs on the executor.
 */
final class ArrivalProcess {
    private final LoadProfile profile;
    private final ExecutionEnvironment environment;
    private final DelayedTasks tasks;
    private final RequestGenerator requests;
    private final Consumer<ClientRequest> submit;
    private final BooleanSupplier isStopped;
    private final Thread openLoop;

    /** When the next request is due; used by the one thread that makes arrivals. */
    private long dueMicros;

    private long startedAtMicros;
    private int replayed;

    /**
     * @param submit gets every request when it arrives
     * @param isStopped whether no more requests arrive
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

    /** Waits until the open loop's thread has ended; returns at once if it never ran. */
    void awaitEnd() throws InterruptedException {
        openLoop.join();
    }

    /** A request was completed: its closed-loop client sends the next one after its think time. */
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
            dueMicros += requests.drawGapMicros();
            long waitMicros = dueMicros - environment.monotonicMicros();
            if (waitMicros > 0) {
                LockSupport.parkNanos(waitMicros * 1000);
            }
            submitRequestOf(requests.drawVolume());
        }
    }

    /** The open loop in virtual time, by one timer a request. */
    private void scheduleNextArrival() {
        dueMicros += requests.drawGapMicros();
        tasks.schedule(
                () -> {
                    if (!isStopped.getAsBoolean()) {
                        submitRequestOf(requests.drawVolume());
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
     * A closed-loop client sends its next request, always to the same volume. Its latencies include
     * every stall, but it sends less while it waits: a closed loop measures throughput, an open one
     * what users suffer (Schroeder, Wierman and Harchol-Balter, NSDI 2006).
     */
    private void scheduleClosedLoopRequest(int volumeIndex, long delayMicros) {
        tasks.schedule(
                () -> {
                    if (!isStopped.getAsBoolean()) {
                        synchronized (this) {
                            dueMicros = environment.monotonicMicros();
                            submitRequestOf(volumeIndex);
                        }
                    }
                },
                delayMicros);
    }

    /** Sends the captured requests that are due, and schedules itself for the next one. */
    private void replayDueRequests() {
        while (!isStopped.getAsBoolean() && replayed < profile.trace().size()) {
            LoadProfile.TracedRequest next = profile.trace().get(replayed);
            dueMicros = startedAtMicros + next.offsetMicros();
            if (dueMicros > environment.monotonicMicros()) {
                tasks.schedule(this::replayDueRequests, dueMicros - environment.monotonicMicros());
                return;
            }
            replayed++;
            submit.accept(requests.replay(next, dueMicros));
        }
    }

    private void submitRequestOf(int volumeIndex) {
        submit.accept(requests.drawRequest(dueMicros, volumeIndex));
    }
}
