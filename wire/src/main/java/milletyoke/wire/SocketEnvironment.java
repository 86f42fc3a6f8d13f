package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The production environment: uses the clocks and sockets of this machine, and runs every event
 * loop on a thread of its own. Stateless.
 */
public final class SocketEnvironment implements ExecutionEnvironment {
    private static final long MICROS_PER_MILLI = 1_000;

    @Override
    public long monotonicMicros() {
        return SocketNetwork.monotonicMicros();
    }

    @Override
    public long wallClockMicros() {
        return System.currentTimeMillis() * MICROS_PER_MILLI;
    }

    @Override
    public Network openNetwork(String name, int threads, FrameObserver observer)
            throws IOException {
        return new SocketNetwork(name, threads, observer);
    }

    @Override
    public ScheduledExecutorService newTimerExecutor(String name, int threads) {
        return new ScheduledThreadPoolExecutor(
                threads,
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    @Override
    public boolean isVirtual() {
        return false;
    }

    @Override
    public void sleep(long micros) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(micros);
    }

    @Override
    public LoopDriver newLoopDriver(LoopTask task) {
        return null;
    }
}
