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

/** The same turn by the current scheduler and by the reference, which scans all that it keeps. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-Xms2g", "-Xmx2g", "-XX:+UseSerialGC"})
@State(Scope.Thread)
public class ReferenceComparisonBenchmark {
    @Param({"100x100", "1000x2000", "5000x2000"})
    public String size;

    @Param({"now", "before"})
    public String module;

    private SteadyLoad steady;

    /** Fills the scheduler up to its steady state. */
    @Setup(Level.Trial)
    public void fill() {
        String[] parts = size.split("x", 0);
        int pending = Integer.parseInt(parts[0]);
        int volumes = Integer.parseInt(parts[1]);
        steady =
                module.equals("now")
                        ? new SteadyLoad(new RequestScheduler(), pending, volumes, 30)
                        : new SteadyLoad(
                                new milletyoke.scheduler.reference.ReferenceScheduler()::decide,
                                pending,
                                volumes,
                                30);
    }

    /** One turn; returns the number of actions, so that they are not optimized away. */
    @Benchmark
    public int turn() {
        return steady.turn();
    }
}
