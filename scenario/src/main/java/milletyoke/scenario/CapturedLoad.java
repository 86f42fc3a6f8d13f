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
 * Captured traffic as a day's demand: every access when it came, through the initiator that its
 * capture stands for (the first file for the first, and so on round), with its own volume, units
 * and time. The day says what its categories and plans are.
 */
final class CapturedLoad {
    private CapturedLoad() {}

    /**
     * Reads the day's captures.
     *
     * @param all the volumes of the day; replaced by those that the captures name
     * @throws IOException where a capture cannot be read, or names what the day does not have; with
     *     the place
     */
    static List<LoadProfile.TracedRequest> of(
            Scenario scenario,
            List<LoadProfile.RequestClass> kinds,
            List<LoadProfile.Volume> all,
            List<String> names)
            throws IOException {
        Map<String, LoadProfile.Volume> volumes = new LinkedHashMap<>();
        List<LoadProfile.TracedRequest> trace = new ArrayList<>();
        List<Path> files = scenario.load().captureFiles();
        for (int f = 0; f < files.size(); f++) {
            int n = 0;
            for (CapturedTraffic.CapturedRequest one :
                    CapturedTraffic.read(files.get(f)).requests()) {
                String place = files.get(f) + ": access " + ++n;
                LoadProfile.RequestClass requestClass =
                        kinds.stream()
                                .filter(k -> k.name().equals(one.requestClass()))
                                .findFirst()
                                .orElseThrow(
                                        () ->
                                                new IOException(
                                                        place
                                                                + " is of category "
                                                                + one.requestClass()
                                                                + ", which the day does not have"));
                if (scenario.planLoads().stream()
                        .noneMatch(p -> p.plan().name().equals(one.plan()))) {
                    throw new IOException(
                            place + " is of plan " + one.plan() + ", which the day does not have");
                }
                if (one.shard() >= scenario.fleet().targets()) {
                    throw new IOException(
                            place
                                    + " wants shard "
                                    + one.shard()
                                    + ", and the day has "
                                    + scenario.fleet().targets()
                                    + " targets, numbered from 0");
                }
                // Only the number of initiators matters: each request names its own.
                int initiatorCount =
                        Math.max(1, Math.min(one.initiatorCount(), scenario.initiators()));
                List<Integer> initiators = Collections.nCopies(initiatorCount, 0);
                LoadProfile.Volume volume =
                        volumes.computeIfAbsent(
                                one.volume(),
                                v ->
                                        new LoadProfile.Volume(
                                                v, one.plan(), 0, List.of(), initiators));
                trace.add(
                        new LoadProfile.TracedRequest(
                                (long) (one.atMicros() / scenario.load().replaySpeed()),
                                requestClass,
                                volume,
                                f % scenario.initiators(),
                                one.shard(),
                                one.extent(),
                                one.units(),
                                one.timeLeftMicros()));
            }
        }
        trace.sort(Comparator.comparingLong(LoadProfile.TracedRequest::offsetMicros));
        if (!trace.isEmpty()) { // what came first comes at once; files that began together stay in
            // step
            long first = trace.get(0).offsetMicros();
            trace.replaceAll(
                    t ->
                            new LoadProfile.TracedRequest(
                                    t.offsetMicros() - first,
                                    t.requestClass(),
                                    t.volume(),
                                    t.initiator(),
                                    t.shard(),
                                    t.extent(),
                                    t.units(),
                                    t.timeLeftMicros()));
        }
        all.clear();
        all.addAll(volumes.values());
        names.clear();
        names.addAll(volumes.keySet());
        return trace;
    }
}
