package milletyoke.benchmarks;

import java.util.concurrent.TimeUnit;
import milletyoke.scheduler.RequestScheduler;
import org.openjdk.jmh.annotations.*;

/**
 * What one call costs, one access coming and one ending, over the grid of held, volumes and
 * targets.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-Xms2g", "-Xmx2g", "-XX:+UseSerialGC"})
@State(Scope.Thread)
public class SchedulerTurnBenchmark {
    @Param({"100", "1000", "10000", "50000"})
    public int held;

    @Param({"100", "2000", "50000"})
    public int volumes;

    @Param({"10", "100", "1000"})
    public int targets;

    /** Every so many-th access is a new object; 0 for none. */
    @Param({"0"})
    public int newEvery;

    private SteadyLoad steady;

    @Setup(Level.Trial)
    public void fill() {
        steady = new SteadyLoad(new RequestScheduler()::decide, held, volumes, targets);
        steady.newEvery = newEvery;
    }

    @Benchmark
    public int turn() {
        return steady.turn();
    }
}
