package milletyoke.benchmarks;

import java.util.concurrent.TimeUnit;
import milletyoke.scheduler.RequestScheduler;
import org.openjdk.jmh.annotations.*;

/** The same beside the module from before its work was put in step with what happens. */
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

    @Setup(Level.Trial)
    public void fill() {
        String[] of = size.split("x");
        int held = Integer.parseInt(of[0]);
        int volumes = Integer.parseInt(of[1]);
        steady =
                module.equals("now")
                        ? new SteadyLoad(new RequestScheduler()::decide, held, volumes, 30)
                        : new SteadyLoad(
                                new milletyoke.scheduler.reference.Decide()::decide,
                                held,
                                volumes,
                                30);
    }

    @Benchmark
    public int turn() {
        return steady.turn();
    }
}
