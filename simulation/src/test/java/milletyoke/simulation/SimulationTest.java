package milletyoke.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.config.SettingsReader;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.environment.SimulatedEnvironment;
import milletyoke.simulation.policy.SchedulerChoice;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.standins.Discovery;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.capture.CapturedTraffic;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the production code in virtual time: checks the rules on this module's scenarios and on
 * those of the scenario module, and that runs are reproducible.
 */
class SimulationTest {
    private static final Path SHARED_SCENARIOS = Path.of("../scenario/days");
    private static final Path OWN_SCENARIOS = Path.of("days");

    @TempDir Path folder;

    static Stream<Path> ownScenarios() throws Exception {
        try (Stream<Path> files = Files.list(OWN_SCENARIOS)) {
            return files
                    .filter(file -> file.toString().endsWith(".day"))
                    .sorted()
                    .toList()
                    .stream();
        }
    }

    private Audit.Report runAndAudit(Scenario scenario) throws Exception {
        Path recording = folder.resolve("recording");
        SimulationRun.SimulationResult result = SimulationRun.run(scenario, recording);
        Audit.Report report = Audit.audit(recording);
        assertTrue(report.isClean(), () -> scenario.name() + "\n" + report.text(true));
        assertEquals(0, result.unfinished(), "requests without a response");
        assertTrue(
                result.warmUpBudgetUsed() <= 1,
                "a target was sent too much for its warm-up capacity, as a fraction of it: "
                        + result.warmUpBudgetUsed());
        assertTrue(result.isClean(), "an initiator did not shut down cleanly");
        return report;
    }

    @ParameterizedTest
    @MethodSource("ownScenarios")
    void ownScenariosKeepEveryRule(Path script) throws Exception {
        assertTrue(
                runAndAudit(ScenarioParser.read(script)).rule(1).tested() > 500,
                "expected more than 500 checks of rule 1");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "all-rules",
                "hang",
                "leave",
                "limits-change",
                "list-unavailable",
                "mass-restart-stamped",
                "initiators-killed-cold",
                "overlap-list-roll-burst",
                "still"
            })
    void scenariosOfTheScenarioModuleKeepEveryRule(String name) throws Exception {
        runAndAudit(ScenarioParser.read(SHARED_SCENARIOS.resolve(name + ".day")));
    }

    @Test
    void oneScenarioTestsEveryRule() throws Exception {
        Audit.Report report =
                runAndAudit(ScenarioParser.read(SHARED_SCENARIOS.resolve("all-rules.day")));
        for (int rule = 1; rule <= 7; rule++) {
            assertTrue(report.rule(rule).tested() > 0, "rule " + rule + " was not tested");
        }
    }

    /**
     * Runs are reproducible even when others run at the same time; another seed changes the run.
     */
    @Test
    void equalSeedsGiveEqualRunsOnAnyNumberOfThreads() throws Exception {
        Scenario scenario =
                ScenarioParser.read(SHARED_SCENARIOS.resolve("overlap-hang-restart-kill.day"));
        SimulationRun.SimulationResult alone = SimulationRun.run(scenario, null);
        for (int threads : new int[] {2, 6}) {
            ExecutorService workers = Executors.newFixedThreadPool(threads);
            List<Future<SimulationRun.SimulationResult>> futures =
                    IntStream.range(0, 6)
                            .mapToObj(i -> workers.submit(() -> SimulationRun.run(scenario, null)))
                            .toList();
            for (Future<SimulationRun.SimulationResult> future : futures) {
                assertEquals(alone.digest(), future.get().digest());
                assertEquals(alone.serviceLevels().text(), future.get().serviceLevels().text());
            }
            workers.shutdown();
        }
        assertNotEquals(
                alone.digest(),
                SimulationRun.run(
                                scenario.withFaults(
                                        "other", scenario.seed() + 1, scenario.faults()),
                                null)
                        .digest());
    }

    @Test
    void aGreyPartitionAffectsOnlyTheInitiatorItCutsOff() throws Exception {
        Scenario partitioned = ScenarioParser.read(OWN_SCENARIOS.resolve("grey-partition.day"));
        double undisturbed =
                SimulationRun.run(
                                partitioned.withFaults(
                                        partitioned.name(), partitioned.seed(), List.of()),
                                null)
                        .serviceLevels()
                        .overallServiceLevel();
        double grey = SimulationRun.run(partitioned, null).serviceLevels().overallServiceLevel();
        assertTrue(
                undisturbed - grey > 0.005,
                "the partition has no effect on the service level: " + undisturbed + ", " + grey);
        assertTrue(
                undisturbed - grey < 0.15,
                "one of three initiators loses half of the targets for a fifth of the time, which"
                        + " affects a thirtieth of the requests: "
                        + undisturbed
                        + ", "
                        + grey);
    }

    @Test
    void baselineSchedulersRespondToEveryRequestInTime() throws Exception {
        Scenario scenario = ScenarioParser.read(SHARED_SCENARIOS.resolve("slow.day"));
        for (SchedulerChoice scheduler :
                List.of(SchedulerChoice.AT_ONCE, SchedulerChoice.FAIR_ROUNDS)) {
            Path recording = folder.resolve("recording");
            SimulationRun.SimulationResult result =
                    SimulationRun.run(scenario, recording, false, scheduler.schedulerFactory());
            Audit.Report report = Audit.audit(recording);
            for (int rule : new int[] {1, 2, 7}) {
                assertEquals(
                        0,
                        report.rule(rule).violations(),
                        () -> scheduler + "\n" + report.text(true));
            }
            assertEquals(0, result.unfinished());
        }
    }

    @Test
    void aConditionalFaultStartsOnceTheServiceLevelHasFallen() throws Exception {
        String text = Files.readString(OWN_SCENARIOS.resolve("cascade.day"));
        long withoutFault =
                SimulationRun.run(
                                ScenarioParser.read("d", "d", text.replaceAll("(?m)^when.*$", "")),
                                null)
                        .digest();
        assertEquals(
                withoutFault,
                SimulationRun.run(
                                ScenarioParser.read(
                                        "d", "d", text.replace("under=70%", "under=1%")),
                                null)
                        .digest(),
                "the service level never falls below 1%");
        assertNotEquals(
                withoutFault,
                SimulationRun.run(ScenarioParser.read("d", "d", text), null).digest());
        assertTrue(
                assertThrows(
                                ScenarioFormatException.class,
                                () ->
                                        ScenarioParser.read(
                                                "d",
                                                "d",
                                                text.replace("when service", "when luck")))
                        .getMessage()
                        .contains("luck"));
    }

    @Test
    void targetPropertiesAffectTheServiceLevel() throws Exception {
        String text =
                Files.readString(SHARED_SCENARIOS.resolve("mass-restart-stamped.day"))
                        .replaceAll("(?m)^load [0-9]*/s", "load 2500/s")
                        .replaceAll(" limit=\\d+", "");
        String crowdScript = text.replaceAll("(?m)^targets .*$", "$0 crowd=10%");
        double atOncePlain = serviceLevelAtOnce(text);
        double atOnceCrowded = serviceLevelAtOnce(crowdScript);
        assertTrue(
                atOnceCrowded < atOncePlain - 0.05,
                "targets that slow down with concurrent requests must serve less: "
                        + atOnceCrowded
                        + ", "
                        + atOncePlain);
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", crowdScript), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        > atOnceCrowded + 0.05,
                "concurrency limits must reduce the loss");
        Scenario coldRestart = ScenarioParser.read(OWN_SCENARIOS.resolve("cold-restart-40.day"));
        String warmByWork =
                Files.readString(OWN_SCENARIOS.resolve("cold-restart-40.day"))
                        .replaceAll("(?m)^targets .*$", "$0 warmunits=20");
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", warmByWork), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        > SimulationRun.run(coldRestart, null)
                                .serviceLevels()
                                .overallServiceLevel(),
                "targets that are warm after 20 units of work must serve more");
        String costlyConnections =
                Files.readString(SHARED_SCENARIOS.resolve("reconnect.day"))
                        .replaceAll("(?m)^targets .*$", "$0 connecting=200ms");
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", costlyConnections), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        < SimulationRun.run(
                                        ScenarioParser.read(
                                                SHARED_SCENARIOS.resolve("reconnect.day")),
                                        null)
                                .serviceLevels()
                                .overallServiceLevel());
    }

    @Test
    void networkLatencyIsPartOfEveryResponseTime() throws Exception {
        String text = Files.readString(SHARED_SCENARIOS.resolve("slow.day"));
        double baseMedian =
                SimulationRun.run(ScenarioParser.read("d", "d", text), null)
                        .serviceLevels()
                        .latencies()
                        .getValueAtPercentile(50);
        double distantMedian =
                SimulationRun.run(
                                ScenarioParser.read("d", "d", text + "\nnetwork travel=4ms..6ms"),
                                null)
                        .serviceLevels()
                        .latencies()
                        .getValueAtPercentile(50);
        assertTrue(
                distantMedian > baseMedian + 18_000 && distantMedian < baseMedian + 26_000,
                "expected four one-way latencies of 4 to 6 ms more: "
                        + baseMedian
                        + ", "
                        + distantMedian);
    }

    private static double serviceLevelAtOnce(String text) throws Exception {
        return SimulationRun.run(
                        ScenarioParser.read("d", "d", text),
                        null,
                        false,
                        SchedulerChoice.AT_ONCE.schedulerFactory())
                .serviceLevels()
                .overallServiceLevel();
    }

    /** Requests captured at three initiators are replayed one by one, also at another speed. */
    @Test
    void capturedTrafficIsReplayed() throws Exception {
        Scenario scenario = ScenarioParser.read(SHARED_SCENARIOS.resolve("slow.day"));
        long firstAttempts;
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        null,
                        false,
                        null,
                        new SimulatedEnvironment(3, SimulatedEnvironment.Timing.LOOPBACK),
                        null)) {
            runner.capture(folder.resolve("traffic"));
            firstAttempts = runner.run(serviceLevels -> {}).serviceLevels().totalRequests();
        }
        Map<String, Integer> capturedByClass = new HashMap<>();
        for (int i = 1; i <= 3; i++) {
            CapturedTraffic traffic =
                    CapturedTraffic.read(folder.resolve("traffic/initiator-" + i + ".traffic"));
            assertTrue(traffic.complete());
            traffic.requests()
                    .forEach(
                            request ->
                                    capturedByClass.merge(request.requestClass(), 1, Integer::sum));
        }
        int captured = capturedByClass.values().stream().mapToInt(count -> count).sum();
        assertTrue(
                captured >= firstAttempts && captured < 1.3 * firstAttempts,
                "the capture must also contain the clients' retries: "
                        + captured
                        + ", "
                        + firstAttempts);
        String text =
                Files.readString(SHARED_SCENARIOS.resolve("slow.day"))
                        .replaceAll(
                                "(?m)^load .*$",
                                "load traffic=traffic/initiator-1.traffic,traffic/initiator-2.traffic,traffic/initiator-3.traffic retries=0")
                        .replaceAll("(?m)^lasts .*$", "lasts 14s");
        for (String speed : List.of("", " speed=2")) {
            Scenario replayScenario =
                    ScenarioParser.read(
                            folder.resolve("again.day").toString(),
                            "again",
                            text.replace("retries=0", "retries=0" + speed));
            SimulationRun.SimulationResult replayed = SimulationRun.run(replayScenario, null);
            capturedByClass.forEach(
                    (requestClass, count) ->
                            assertEquals(
                                    count.longValue(),
                                    replayed.serviceLevels()
                                            .requestClass(requestClass)
                                            .requests()));
            assertEquals(0, replayed.unfinished());
        }
        Scenario tooFewTargets =
                ScenarioParser.read(
                        folder.resolve("again.day").toString(),
                        "again",
                        text.replaceAll("(?m)^targets 8 ", "targets 2 "));
        assertTrue(
                assertThrows(IOException.class, () -> SimulationRun.run(tooFewTargets, null))
                        .getMessage()
                        .contains("wants shard"));
    }

    /**
     * After its scheduler has thrown an exception, an event loop ends its pending requests and
     * rejects later ones; they must not stay in a queue that is no longer processed.
     */
    @Test
    void requestsToAFailedEventLoopAreRejected() throws Exception {
        Scenario scenario = ScenarioParser.read(SHARED_SCENARIOS.resolve("slow.day"));
        Path recording = folder.resolve("recording");
        SimulatedEnvironment environment =
                new SimulatedEnvironment(4, SimulatedEnvironment.Timing.LOOPBACK);
        int[] decisionsWithRequests = new int[1];
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        recording,
                        false,
                        null,
                        environment,
                        () ->
                                (now, events) -> {
                                    if (events.stream()
                                                    .anyMatch(
                                                            event ->
                                                                    event
                                                                            instanceof
                                                                            milletyoke.scheduler.api
                                                                                    .Event
                                                                                    .RequestReceived)
                                            && ++decisionsWithRequests[0] > 30) {
                                        throw new IllegalStateException(
                                                "failure injected by the test");
                                    }
                                    return List.of();
                                })) {
            ScenarioRunner.ScenarioResult result = runner.run(serviceLevels -> {});
            assertEquals(0, result.unfinished());
            assertFalse(
                    result.isShutdownClean(),
                    "a failed event loop must not report a clean shutdown");
        }
        assertEquals(0, Audit.audit(recording).rule(1).violations());
    }

    /**
     * Guards against lost requests: an event loop that took more from its queue than one turn may
     * process dropped the next entry.
     */
    @Test
    void aBurstWithinOneTurnLosesNoRequest() throws Exception {
        SimulatedEnvironment environment =
                new SimulatedEnvironment(5, SimulatedEnvironment.Timing.LOOPBACK);
        Discovery discovery =
                new Discovery(
                        0,
                        1,
                        environment.newTimerExecutor("discovery", 1),
                        FrameObserver.NONE,
                        environment);
        DeploymentSettings deployment =
                DeploymentSettings.read(
                        SettingsReader.of(
                                "test",
                                "{initiators: 1, categories: [{name: \"read\", repeats:"
                                        + " \"harmless\", agreedTime: \"400 ms\"}], plans: [{name: \"basic\"}], bounds: {answerSlack: \"100 ms\"}}"));
        Initiator initiator =
                Initiator.start(
                        new InitiatorConfig(
                                "i",
                                1,
                                new Address("127.0.0.1", 0),
                                new Address("127.0.0.1", discovery.port()),
                                null,
                                deployment,
                                new InitiatorConfig.Transport(
                                        200_000,
                                        30_000_000,
                                        2,
                                        100,
                                        250_000,
                                        65_536,
                                        8 << 20,
                                        5_000_000,
                                        2),
                                new InitiatorConfig.CapacityLimits(
                                        10_000, 1 << 14, 100, 1e6, 3_600_000_000L),
                                null,
                                null),
                        FrameObserver.NONE,
                        environment,
                        1,
                        null);
        discovery.update(
                milletyoke.wire.proto.Target.newBuilder()
                        .setId("t")
                        .setShard(0)
                        .setHealth(milletyoke.wire.proto.Health.ACTIVE)
                        .setHost("127.0.0.1")
                        .setPort(1)
                        .build());
        Map<Long, Integer> responsesByNumber = new HashMap<>();
        PeerConnection[] client = new PeerConnection[1];
        environment
                .openNetwork("client", 1, FrameObserver.NONE)
                .connect(
                        "127.0.0.1",
                        initiator.port(),
                        Role.CLIENT,
                        new PeerListener() {
                            @Override
                            public void onReady(PeerConnection peer) {
                                client[0] = peer;
                            }

                            @Override
                            public void onFrame(PeerConnection peer, Frame frame) {
                                responsesByNumber.merge(
                                        frame.getResponse().getNumber(), 1, Integer::sum);
                            }

                            @Override
                            public void onClosed(PeerConnection peer, String reason) {}
                        },
                        new FrameLimits(65_536, 64 << 20, 5_000_000, 0),
                        reason -> {});
        environment.sleep(1_000_000);
        for (long number = 1;
                number <= 3_000;
                number++) { // all arrive within one turn of the event loop
            client[0].enqueue(
                    Frame.newBuilder()
                            .setRequest(
                                    Request.newBuilder()
                                            .setNumber(number)
                                            .setShard(0)
                                            .setVolume("v" + number % 7)
                                            .setPlan("basic")
                                            .setRequestClass("read")
                                            .setInitiatorCount(1)
                                            .setUnits(1)
                                            .setTimeLeftMicros(500_000))
                            .build());
        }
        client[0].flush();
        environment.sleep(2_000_000);
        assertEquals(3_000, responsesByNumber.size());
        assertTrue(responsesByNumber.values().stream().allMatch(count -> count == 1));
        initiator.kill();
    }
}
