package milletyoke.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import milletyoke.scenario.script.Scenario;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.standins.LoadProfile;

/**
 * Builds the load of a scenario: request classes, and the volumes of each plan with data on one to
 * four targets and their leading initiators, drawn from the seed.
 */
final class LoadProfileBuilder {
    private final Scenario scenario;
    private final List<String> volumes = new ArrayList<>();

    LoadProfileBuilder(Scenario scenario) {
        this.scenario = scenario;
    }

    /** The names of the volumes in the profile that was built. */
    List<String> volumes() {
        return volumes;
    }

    LoadProfile build() throws IOException {
        List<LoadProfile.RequestClass> kinds = requestClasses();
        List<LoadProfile.Volume> all = volumeLoads();
        Scenario.Load l = scenario.load();
        List<LoadProfile.TracedRequest> trace =
                l.captureFiles().isEmpty()
                        ? List.of()
                        : CapturedLoad.of(scenario, kinds, all, volumes);
        return new LoadProfile(
                l.requestsPerSecond(),
                kinds,
                all,
                l.retries(),
                l.retryDelayMicros(),
                l.shortDeadlineFraction(),
                l.shortDeadlineMicros()[0],
                l.shortDeadlineMicros()[1],
                l.cancelFraction(),
                scenario.ruleBounds().responseSlackMicros(),
                l.closedLoopClients(),
                l.thinkTimeMicros(),
                trace);
    }

    private List<LoadProfile.RequestClass> requestClasses() {
        List<LoadProfile.RequestClass> kinds = new ArrayList<>();
        double shares = scenario.classLoads().stream().mapToDouble(Scenario.ClassLoad::share).sum();
        for (int k = 0; k < scenario.classLoads().size(); k++) {
            Scenario.ClassLoad kind = scenario.classLoads().get(k);
            RequestClass c = scenario.requestClasses().get(k);
            kinds.add(
                    new LoadProfile.RequestClass(
                            c.name(),
                            kind.share() / shares,
                            kind.minUnits(),
                            kind.maxUnits(),
                            kind.isWrite(),
                            c.keyOrdered(),
                            Scenario.clientIdempotency(c),
                            c.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && c.deduplicationScope() == DeduplicationScope.ALL,
                            c.latencyObjectiveMicros(),
                            kind.deadlineMicros(),
                            c.priorityWeight(),
                            kind.isNewObject()));
        }
        return kinds;
    }

    private List<LoadProfile.Volume> volumeLoads() {
        SplittableRandom draw = new SplittableRandom(scenario.seed());
        List<LoadProfile.Volume> all = new ArrayList<>();
        double parts = scenario.planLoads().stream().mapToDouble(Scenario.PlanLoad::share).sum();
        for (Scenario.PlanLoad plan : scenario.planLoads()) {
            for (int v = 0; v < plan.volumes(); v++) {
                String name = plan.plan().name() + "-" + (v + 1);
                volumes.add(name);
                all.add(
                        new LoadProfile.Volume(
                                name,
                                plan.plan().name(),
                                plan.share() / parts / plan.volumes(),
                                some(draw, scenario.fleet().targets(), 1 + draw.nextInt(4)),
                                some(draw, scenario.initiators(), plan.hosts())));
            }
        }
        return all;
    }

    private static List<Integer> some(SplittableRandom draw, int of, int most) {
        if (of > 64 && most < of / 8) {
            // Shuffling all for each of a hundred thousand volumes would be slow.
            Set<Integer> few = new LinkedHashSet<>();
            while (few.size() < most) {
                few.add(draw.nextInt(of));
            }
            return List.copyOf(few);
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(draw.nextLong()));
        return List.copyOf(all.subList(0, Math.min(of, most)));
    }
}
