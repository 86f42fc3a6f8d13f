package milletyoke.scenario;

import java.util.ArrayDeque;
import java.util.Deque;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.standins.LoadGenerator;
import milletyoke.standins.ServiceLevelRecorder.PriorityWeights;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts each fault at its time, or when the service level falls below the threshold of the fault.
 */
final class FaultSchedule {
    private static final Logger LOG = LoggerFactory.getLogger(FaultSchedule.class);

    private static final long SERVICE_SAMPLE_MICROS = 100_000;

    /** Number of samples in the last second. */
    private static final int SERVICE_SAMPLES = 10;

    private final RunContext context;
    private final FaultInjector injector;
    private final LoadGenerator loadGenerator;

    FaultSchedule(RunContext context, FaultInjector injector, LoadGenerator loadGenerator) {
        this.context = context;
        this.injector = injector;
        this.loadGenerator = loadGenerator;
    }

    void schedule(Fault fault) {
        if (fault.belowServiceLevel() > 0) {
            context.schedule(
                    fault.atMicros(),
                    () -> {
                        Deque<PriorityWeights> samples = new ArrayDeque<>();
                        samples.addLast(loadGenerator.serviceLevels().priorityWeights());
                        awaitServiceBelow(fault, samples);
                    });
            return;
        }
        context.schedule(
                fault.atMicros(),
                () -> {
                    LOG.info("fault injected type={}", fault.type());
                    injector.inject(fault);
                });
    }

    /**
     * Starts a fault once the service level of the last second is below its threshold.
     *
     * @param samples running totals of the last second at most, oldest first
     */
    private void awaitServiceBelow(Fault fault, Deque<PriorityWeights> samples) {
        context.schedule(
                SERVICE_SAMPLE_MICROS,
                () -> {
                    PriorityWeights now = loadGenerator.serviceLevels().priorityWeights();
                    PriorityWeights oldest = samples.getFirst();
                    double due = now.due() - oldest.due();
                    double serviceLevel = (now.inTime() - oldest.inTime()) / due;
                    if (samples.size() == SERVICE_SAMPLES
                            && due > 0
                            && serviceLevel < fault.belowServiceLevel()) {
                        LOG.info(
                                "fault injected type={} serviceLevel={}",
                                fault.type(),
                                serviceLevel);
                        injector.inject(fault);
                        return;
                    }
                    samples.addLast(now);
                    if (samples.size() > SERVICE_SAMPLES) {
                        samples.removeFirst();
                    }
                    awaitServiceBelow(fault, samples);
                });
    }
}
