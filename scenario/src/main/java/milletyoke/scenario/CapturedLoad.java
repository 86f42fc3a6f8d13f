package milletyoke.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.scenario.script.Scenario;
import milletyoke.standins.LoadProfile;
import milletyoke.wire.capture.CapturedTraffic;

/**
 * Converts captured traffic to the load of a scenario: each request keeps its time, volume, units
 * and deadline. The capture files are assigned to the initiators in turn. The scenario defines the
 * request classes and plans.
 */
final class CapturedLoad {
    private CapturedLoad() {}

    /**
     * Reads the capture files of a scenario.
     *
     * @param volumes the volumes of the scenario; replaced by those of the captures
     * @param names the names of the volumes; replaced likewise
     * @throws IOException if a capture cannot be read, or names a category, plan or shard that the
     *     scenario does not have; the message names file and request
     */
    static List<LoadProfile.TracedRequest> read(
            Scenario scenario,
            List<LoadProfile.RequestClass> requestClasses,
            List<LoadProfile.Volume> volumes,
            List<String> names)
            throws IOException {
        Map<String, LoadProfile.Volume> capturedVolumes = new LinkedHashMap<>();
        List<LoadProfile.TracedRequest> trace = new ArrayList<>();
        List<Path> files = scenario.load().captureFiles();
        for (int fileIndex = 0; fileIndex < files.size(); fileIndex++) {
            int requestNumber = 0;
            for (CapturedTraffic.CapturedRequest captured :
                    CapturedTraffic.read(files.get(fileIndex)).requests()) {
                String location = files.get(fileIndex) + ": request " + ++requestNumber;
                LoadProfile.RequestClass requestClass =
                        requestClasses.stream()
                                .filter(
                                        candidate ->
                                                candidate.name().equals(captured.requestClass()))
                                .findFirst()
                                .orElseThrow(
                                        () ->
                                                new IOException(
                                                        location
                                                                + " is of category "
                                                                + captured.requestClass()
                                                                + ", which the scenario does not define"));
                if (scenario.planLoads().stream()
                        .noneMatch(planLoad -> planLoad.plan().name().equals(captured.plan()))) {
                    throw new IOException(
                            location
                                    + " is of plan "
                                    + captured.plan()
                                    + ", which the scenario does not define");
                }
                if (captured.shard() >= scenario.fleet().targets()) {
                    throw new IOException(
                            location
                                    + " wants shard "
                                    + captured.shard()
                                    + ", but the scenario has "
                                    + scenario.fleet().targets()
                                    + " targets, numbered from 0");
                }
                // Only the number of initiators matters: each request names its own.
                int initiatorCount =
                        Math.max(1, Math.min(captured.initiatorCount(), scenario.initiators()));
                List<Integer> initiators = Collections.nCopies(initiatorCount, 0);
                LoadProfile.Volume volume =
                        capturedVolumes.computeIfAbsent(
                                captured.volume(),
                                name ->
                                        new LoadProfile.Volume(
                                                name, captured.plan(), 0, List.of(), initiators));
                trace.add(
                        new LoadProfile.TracedRequest(
                                (long) (captured.atMicros() / scenario.load().replaySpeed()),
                                requestClass,
                                volume,
                                fileIndex % scenario.initiators(),
                                captured.shard(),
                                captured.extent(),
                                captured.units(),
                                captured.timeLeftMicros()));
            }
        }
        trace.sort(Comparator.comparingLong(LoadProfile.TracedRequest::offsetMicros));
        if (!trace.isEmpty()) { // the first request is sent at once; all files are shifted alike
            long firstOffsetMicros = trace.get(0).offsetMicros();
            trace.replaceAll(
                    request ->
                            new LoadProfile.TracedRequest(
                                    request.offsetMicros() - firstOffsetMicros,
                                    request.requestClass(),
                                    request.volume(),
                                    request.initiator(),
                                    request.shard(),
                                    request.extent(),
                                    request.units(),
                                    request.timeLeftMicros()));
        }
        volumes.clear();
        volumes.addAll(capturedVolumes.values());
        names.clear();
        names.addAll(capturedVolumes.keySet());
        return trace;
    }
}
