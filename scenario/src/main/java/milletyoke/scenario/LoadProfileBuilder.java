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
 * Builds the load of a scenario: its request classes, and the volumes of each plan. Each volume has
 * data on one to four targets and some leading initiators, which are drawn with the seed.
 */
final class LoadProfileBuilder {
    private final Scenario scenario;
    private final List<String> volumes = new ArrayList<>();

    LoadProfileBuilder(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the names of the volumes in the profile that was built. */
    List<String> volumes() {
        return volumes;
    }

    LoadProfile build() throws IOException {
        List<LoadProfile.RequestClass> requestClasses = requestClasses();
        List<LoadProfile.Volume> volumeLoads = volumeLoads();
        Scenario.Load load = scenario.load();
        List<LoadProfile.TracedRequest> trace =
                load.captureFiles().isEmpty()
                        ? List.of()
                        : CapturedLoad.read(scenario, requestClasses, volumeLoads, volumes);
        return new LoadProfile(
                load.requestsPerSecond(),
                requestClasses,
                volumeLoads,
                load.retries(),
                load.retryDelayMicros(),
                load.shortDeadlineFraction(),
                load.shortDeadlineMicros()[0],
                load.shortDeadlineMicros()[1],
                load.cancelFraction(),
                scenario.ruleBounds().responseSlackMicros(),
                load.closedLoopClients(),
                load.thinkTimeMicros(),
                trace);
    }

    private List<LoadProfile.RequestClass> requestClasses() {
        List<LoadProfile.RequestClass> requestClasses = new ArrayList<>();
        double totalShare =
                scenario.classLoads().stream().mapToDouble(Scenario.ClassLoad::share).sum();
        for (int index = 0; index < scenario.classLoads().size(); index++) {
            Scenario.ClassLoad classLoad = scenario.classLoads().get(index);
            RequestClass requestClass = scenario.requestClasses().get(index);
            requestClasses.add(
                    new LoadProfile.RequestClass(
                            requestClass.name(),
                            classLoad.share() / totalShare,
                            classLoad.minUnits(),
                            classLoad.maxUnits(),
                            classLoad.isWrite(),
                            requestClass.keyOrdered(),
                            Scenario.clientIdempotency(requestClass),
                            requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && requestClass.deduplicationScope() == DeduplicationScope.ALL,
                            requestClass.latencyObjectiveMicros(),
                            classLoad.deadlineMicros(),
                            requestClass.priorityWeight(),
                            classLoad.isNewObject()));
        }
        return requestClasses;
    }

    private List<LoadProfile.Volume> volumeLoads() {
        SplittableRandom random = new SplittableRandom(scenario.seed());
        List<LoadProfile.Volume> volumeLoads = new ArrayList<>();
        double totalShare =
                scenario.planLoads().stream().mapToDouble(Scenario.PlanLoad::share).sum();
        for (Scenario.PlanLoad planLoad : scenario.planLoads()) {
            for (int i = 0; i < planLoad.volumes(); i++) {
                String name = planLoad.plan().name() + "-" + (i + 1);
                volumes.add(name);
                volumeLoads.add(
                        new LoadProfile.Volume(
                                name,
                                planLoad.plan().name(),
                                planLoad.share() / totalShare / planLoad.volumes(),
                                drawIndices(
                                        random, scenario.fleet().targets(), 1 + random.nextInt(4)),
                                drawIndices(random, scenario.initiators(), planLoad.hosts())));
            }
        }
        return volumeLoads;
    }

    private static List<Integer> drawIndices(SplittableRandom random, int count, int max) {
        if (count > 64 && max < count / 8) {
            // Shuffling all targets for each of a hundred thousand volumes would be slow.
            Set<Integer> drawn = new LinkedHashSet<>();
            while (drawn.size() < max) {
                drawn.add(random.nextInt(count));
            }
            return List.copyOf(drawn);
        }
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            indices.add(i);
        }
        Collections.shuffle(indices, new Random(random.nextLong()));
        return List.copyOf(indices.subList(0, Math.min(count, max)));
    }
}
