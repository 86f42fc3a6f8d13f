package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * This machine: its monotonic clock, its sockets, threads of its own for every loop. Holds no
 * state.
 */
public final class SocketEnvironment implements ExecutionEnvironment {
    @Override
    public long monotonicMicros() {
        return SocketNetwork.monotonicMicros();
    }

    @Override
    public long wallClockMicros() {
        return System.currentTimeMillis() * 1000;
    }

    @Override
    public Network openNetwork(String name, int threads, FrameObserver tap) throws IOException {
        return new SocketNetwork(name, threads, tap);
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
    public LoopDriver newLoopDriver(LoopTask turns) {
        return null;
    }
}
