package milletyoke.benchmarks;

import java.util.concurrent.TimeUnit;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.reference.ReferenceScheduler;
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
 * Compares the time of a turn of the current scheduler with that of the reference implementation,
 * which scans its whole state in each turn.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-Xms2g", "-Xmx2g", "-XX:+UseSerialGC"})
@State(Scope.Thread)
public class ReferenceComparisonBenchmark {
    private static final int TARGETS = 30;

    /** The number of pending requests, and the number of volumes. */
    @Param({"100x100", "1000x2000", "5000x2000"})
    public String size;

    /** The implementation: {@code now} is the current scheduler, {@code before} the reference. */
    @Param({"now", "before"})
    public String module;

    private SteadyLoad load;

    /** Brings the scheduler to its steady state. */
    @Setup(Level.Trial)
    public void fill() {
        String[] parts = size.split("x", 0);
        int pending = Integer.parseInt(parts[0]);
        int volumes = Integer.parseInt(parts[1]);
        load =
                module.equals("now")
                        ? new SteadyLoad(new RequestScheduler(), pending, volumes, TARGETS)
                        : new SteadyLoad(
                                new ReferenceScheduler()::decide, pending, volumes, TARGETS);
    }

    /** Runs one turn. Returns the number of actions, so that they are not optimized away. */
    @Benchmark
    public int turn() {
        return load.turn();
    }
}
