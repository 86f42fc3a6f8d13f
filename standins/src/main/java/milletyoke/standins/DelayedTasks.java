package milletyoke.standins;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on an executor that are never cancelled or awaited. Thread-safe. */
final class DelayedTasks {
    private final ScheduledExecutorService executor;

    DelayedTasks(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    void schedule(Runnable task, long delayMicros) {
        ScheduledFuture<?> unused = executor.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    void execute(Runnable task) {
        executor.execute(task);
    }
}
