package milletyoke.standins;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules tasks that are never cancelled or waited for. Thread-safe. */
final class DelayedTasks {
    private final ScheduledExecutorService executor;

    DelayedTasks(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /** Runs a task on one of the executor's threads after a delay. */
    void schedule(Runnable task, long delayMicros) {
        ScheduledFuture<?> unused = executor.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Runs a task on one of the executor's threads as soon as one is free. */
    void execute(Runnable task) {
        executor.execute(task);
    }
}
