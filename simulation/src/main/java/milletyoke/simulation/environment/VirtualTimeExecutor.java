package milletyoke.simulation.environment;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks and timers in virtual time. After a shutdown, pending tasks are no longer run. */
final class VirtualTimeExecutor extends AbstractExecutorService
        implements ScheduledExecutorService {
    private final SimulatedEnvironment environment;
    private final String name;
    private boolean hasShutDown;

    VirtualTimeExecutor(SimulatedEnvironment environment, String name) {
        this.environment = environment;
        this.name = name;
    }

    /** The future of a scheduled task. */
    private final class Timer<V> extends FutureTask<V> implements ScheduledFuture<V> {
        final long dueAt;
        SimulatedEnvironment.ScheduledEvent event;

        Timer(Callable<V> task, long dueAt) {
            super(task);
            this.dueAt = dueAt;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueAt - environment.monotonicMicros(), TimeUnit.MICROSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MICROSECONDS), other.getDelay(TimeUnit.MICROSECONDS));
        }

        @Override
        public boolean cancel(boolean interrupt) {
            return event.cancel() && super.cancel(false);
        }
    }

    private void scheduleAt(long time, Runnable task) {
        environment.schedule(
                time,
                () -> {
                    if (!hasShutDown) {
                        task.run();
                    }
                });
    }

    @Override
    public void execute(Runnable task) {
        if (!hasShutDown) {
            scheduleAt(environment.monotonicMicros(), task);
        }
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        Timer<V> timer =
                new Timer<>(
                        task, environment.monotonicMicros() + Math.max(0, unit.toMicros(delay)));
        timer.event =
                environment.schedule(
                        timer.dueAt,
                        () -> {
                            if (!hasShutDown) {
                                timer.run();
                                rethrow(timer);
                            }
                        });
        return timer;
    }

    /** Rethrows the exception of a failed task, so that the failure ends the simulation run. */
    private void rethrow(FutureTask<?> task) {
        try {
            task.get();
        } catch (InterruptedException | java.util.concurrent.ExecutionException failed) {
            throw new IllegalStateException(
                    "a task of executor " + name + " failed", failed.getCause());
        }
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    return null;
                },
                delay,
                unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    if (!hasShutDown) {
                        scheduleWithFixedDelay(task, delay, delay, unit);
                    }
                },
                initialDelay,
                unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(
                task, initialDelay, period, unit); // tasks take no virtual time
    }

    @Override
    public void shutdown() {
        hasShutDown = true;
    }

    @Override
    public List<Runnable> shutdownNow() {
        hasShutDown = true;
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return hasShutDown;
    }

    @Override
    public boolean isTerminated() {
        return hasShutDown;
    }

    @Override
    public boolean awaitTermination(long time, TimeUnit unit) {
        return hasShutDown;
    }
}
