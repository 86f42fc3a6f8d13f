package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * This machine: its monotonic clock, its sockets, threads of its own for every loop. Holds no
 * state.
 */
public final class Sockets implements World {
    @Override
    public long micros() {
        return Wire.micros();
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis() * 1000;
    }

    @Override
    public Net net(String name, int threads, Tap tap) throws IOException {
        return new Wire(name, threads, tap);
    }

    @Override
    public ScheduledExecutorService clockwork(String name, int threads) {
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
    public Drive drive(Turns turns) {
        return null;
    }
}
