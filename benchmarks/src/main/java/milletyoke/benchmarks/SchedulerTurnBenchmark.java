package milletyoke.benchmarks;

import java.util.concurrent.TimeUnit;
import milletyoke.scheduler.RequestScheduler;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of a turn in which one request arrives and one attempt ends, for combinations
 * of the numbers of pending requests, volumes and targets.
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
    /** The number of pending requests. */
    @Param({"100", "1000", "10000", "50000"})
    public int held;

    @Param({"100", "2000", "50000"})
    public int volumes;

    @Param({"10", "100", "1000"})
    public int targets;

    /** One of this many requests is for a new object; 0 for none. */
    @Param({"0"})
    public int newEvery;

    private SteadyLoad load;

    /** Brings the scheduler to its steady state. */
    @Setup(Level.Trial)
    public void fill() {
        load = new SteadyLoad(new RequestScheduler(), held, volumes, targets);
        load.newObjectInterval = newEvery;
    }

    /** Runs one turn. Returns the number of actions, so that they are not optimized away. */
    @Benchmark
    public int turn() {
        return load.turn();
    }
}
