package milletyoke.simulation.environment;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timers in virtual time. After a shutdown nothing of it happens any more. */
final class VirtualTimeExecutor extends AbstractExecutorService
        implements ScheduledExecutorService {
    private final SimulatedEnvironment world;
    private final String name;
    private boolean shut;

    VirtualTimeExecutor(SimulatedEnvironment world, String name) {
        this.world = world;
        this.name = name;
    }

    /** What a caller may do with something scheduled. */
    private final class Timer<V> extends FutureTask<V> implements ScheduledFuture<V> {
        final long at;
        SimulatedEnvironment.ScheduledEvent pending;

        Timer(Callable<V> task, long at) {
            super(task);
            this.at = at;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(at - world.monotonicMicros(), TimeUnit.MICROSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MICROSECONDS), other.getDelay(TimeUnit.MICROSECONDS));
        }

        @Override
        public boolean cancel(boolean interrupt) {
            return pending.cancel() && super.cancel(false);
        }
    }

    private void at(long time, Runnable task) {
        world.schedule(
                time,
                () -> {
                    if (!shut) {
                        task.run();
                    }
                });
    }

    @Override
    public void execute(Runnable task) {
        if (!shut) {
            at(world.monotonicMicros(), task);
        }
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        Timer<V> timer =
                new Timer<>(task, world.monotonicMicros() + Math.max(0, unit.toMicros(delay)));
        timer.pending =
                world.schedule(
                        timer.at,
                        () -> {
                            if (!shut) {
                                timer.run();
                                rethrow(timer);
                            }
                        });
        return timer;
    }

    /**
     * A fault of what was played is a fault of the play; swallowed, it would pass for a quiet day.
     */
    private void rethrow(FutureTask<?> done) {
        try {
            done.get();
        } catch (InterruptedException | java.util.concurrent.ExecutionException failed) {
            throw new IllegalStateException("a task of " + name + " failed", failed.getCause());
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
            Runnable task, long first, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    if (!shut) {
                        scheduleWithFixedDelay(task, delay, delay, unit);
                    }
                },
                first,
                unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long first, long every, TimeUnit unit) {
        return scheduleWithFixedDelay(task, first, every, unit); // a task takes no time here
    }

    @Override
    public void shutdown() {
        shut = true;
    }

    @Override
    public List<Runnable> shutdownNow() {
        shut = true;
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return shut;
    }

    @Override
    public boolean isTerminated() {
        return shut;
    }

    @Override
    public boolean awaitTermination(long time, TimeUnit unit) {
        return shut;
    }
}
