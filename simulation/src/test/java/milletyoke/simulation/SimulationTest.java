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
 * The product in virtual time: the rules on days that the rehearsal plays too, the hard cases, and
 * repeatability.
 */
class SimulationTest {
    private static final Path REHEARSALS = Path.of("../scenario/days"), OWN = Path.of("days");

    @TempDir Path folder;

    static Stream<Path> ownDays() throws Exception {
        try (Stream<Path> all = Files.list(OWN)) {
            return all.filter(f -> f.toString().endsWith(".day")).sorted().toList().stream();
        }
    }

    private Audit.Report kept(Scenario scenario) throws Exception {
        Path recording = folder.resolve("recording");
        SimulationRun.SimulationResult result = SimulationRun.run(scenario, recording);
        Audit.Report report = Audit.audit(recording);
        assertTrue(report.isClean(), () -> scenario.name() + "\n" + report.text(true));
        assertEquals(0, result.unfinished(), "every access has its answer");
        assertTrue(
                result.warmUpBudgetUsed() <= 1,
                "no cold target is sent more than it bears: " + result.warmUpBudgetUsed());
        assertTrue(result.isClean(), "every initiator left with nothing unanswered");
        return report;
    }

    @ParameterizedTest
    @MethodSource("ownDays")
    void hardCasesKeepEveryRule(Path script) throws Exception {
        assertTrue(
                kept(ScenarioParser.read(script)).rule(1).tested() > 500,
                "hardly anything was asked");
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
    void aRehearsalPlaysHereToo(String name) throws Exception {
        kept(ScenarioParser.read(REHEARSALS.resolve(name + ".day")));
    }

    @Test
    void theAuditSeesTheRulesTestedHereAsOnSockets() throws Exception {
        Audit.Report report = kept(ScenarioParser.read(REHEARSALS.resolve("all-rules.day")));
        for (int rule = 1; rule <= 7; rule++) {
            assertTrue(report.rule(rule).tested() > 0, "rule " + rule + " was not put to the test");
        }
    }

    /** Repeatable, also with others beside it; another seed is another day. */
    @Test
    void theSameSeedPlaysTheSameOnAnyNumberOfThreads() throws Exception {
        Scenario scenario =
                ScenarioParser.read(REHEARSALS.resolve("overlap-hang-restart-kill.day"));
        SimulationRun.SimulationResult alone = SimulationRun.run(scenario, null);
        for (int threads : new int[] {2, 6}) {
            ExecutorService workers = Executors.newFixedThreadPool(threads);
            List<Future<SimulationRun.SimulationResult>> plays =
                    IntStream.range(0, 6)
                            .mapToObj(n -> workers.submit(() -> SimulationRun.run(scenario, null)))
                            .toList();
            for (Future<SimulationRun.SimulationResult> play : plays) {
                assertEquals(alone.digest(), play.get().digest());
                assertEquals(alone.serviceLevels().text(), play.get().serviceLevels().text());
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
    void aGreyPartitionHurtsWhomItCutsOffAndNobodyElse() throws Exception {
        Scenario cut = ScenarioParser.read(OWN.resolve("grey-partition.day"));
        double quiet =
                SimulationRun.run(cut.withFaults(cut.name(), cut.seed(), List.of()), null)
                        .serviceLevels()
                        .overallServiceLevel();
        double grey = SimulationRun.run(cut, null).serviceLevels().overallServiceLevel();
        assertTrue(quiet - grey > 0.005, "it costs something: " + quiet + ", " + grey);
        assertTrue(
                quiet - grey < 0.15,
                "a third of accesses at half of the targets for a fifth of the time is a thirtieth: "
                        + quiet
                        + ", "
                        + grey);
    }

    @Test
    void plainPoliciesAnswerEverythingInTime() throws Exception {
        Scenario scenario = ScenarioParser.read(REHEARSALS.resolve("slow.day"));
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
    void aTroubleThatWaitsForServiceComesOnceItHasFallen() throws Exception {
        String text = Files.readString(OWN.resolve("cascade.day"));
        long without =
                SimulationRun.run(
                                ScenarioParser.read("d", "d", text.replaceAll("(?m)^when.*$", "")),
                                null)
                        .digest();
        assertEquals(
                without,
                SimulationRun.run(
                                ScenarioParser.read(
                                        "d", "d", text.replace("under=70%", "under=1%")),
                                null)
                        .digest(),
                "service never falls so low");
        assertNotEquals(
                without, SimulationRun.run(ScenarioParser.read("d", "d", text), null).digest());
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
    void whatTargetsAreLikeShows() throws Exception {
        String text =
                Files.readString(REHEARSALS.resolve("mass-restart-stamped.day"))
                        .replaceAll("(?m)^load [0-9]*/s", "load 2500/s")
                        .replaceAll(" limit=\\d+", "");
        String crowd = text.replaceAll("(?m)^targets .*$", "$0 crowd=10%");
        double plain = atOnce(text);
        double crowded = atOnce(crowd);
        assertTrue(
                crowded < plain - 0.05,
                "targets that lose to a crowd do less: " + crowded + ", " + plain);
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", crowd), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        > crowded + 0.05,
                "windows leave them less of one");
        Scenario cold = ScenarioParser.read(OWN.resolve("cold-restart-40.day"));
        String byWork =
                Files.readString(OWN.resolve("cold-restart-40.day"))
                        .replaceAll("(?m)^targets .*$", "$0 warmunits=20");
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", byWork), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        > SimulationRun.run(cold, null).serviceLevels().overallServiceLevel(),
                "targets that are warm after twenty units do more");
        String costly =
                Files.readString(REHEARSALS.resolve("reconnect.day"))
                        .replaceAll("(?m)^targets .*$", "$0 connecting=200ms");
        assertTrue(
                SimulationRun.run(ScenarioParser.read("d", "d", costly), null)
                                .serviceLevels()
                                .overallServiceLevel()
                        < SimulationRun.run(
                                        ScenarioParser.read(REHEARSALS.resolve("reconnect.day")),
                                        null)
                                .serviceLevels()
                                .overallServiceLevel());
    }

    @Test
    void travelIsPartOfEveryAnswer() throws Exception {
        String text = Files.readString(REHEARSALS.resolve("slow.day"));
        double near =
                SimulationRun.run(ScenarioParser.read("d", "d", text), null)
                        .serviceLevels()
                        .latencies()
                        .getValueAtPercentile(50);
        double far =
                SimulationRun.run(
                                ScenarioParser.read("d", "d", text + "\nnetwork travel=4ms..6ms"),
                                null)
                        .serviceLevels()
                        .latencies()
                        .getValueAtPercentile(50);
        assertTrue(
                far > near + 18_000 && far < near + 26_000,
                "four ways of 4 to 6 ms: " + near + ", " + far);
    }

    private static double atOnce(String text) throws Exception {
        return SimulationRun.run(
                        ScenarioParser.read("d", "d", text),
                        null,
                        false,
                        SchedulerChoice.AT_ONCE.schedulerFactory())
                .serviceLevels()
                .overallServiceLevel();
    }

    /**
     * Traffic as it came in at three initiators is asked again, access by access, also at another
     * speed.
     */
    @Test
    void capturedTrafficIsAskedAgain() throws Exception {
        Scenario scenario = ScenarioParser.read(REHEARSALS.resolve("slow.day"));
        long firstTries;
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        null,
                        false,
                        null,
                        new SimulatedEnvironment(3, SimulatedEnvironment.Timing.LOOPBACK),
                        null)) {
            runner.capture(folder.resolve("traffic"));
            firstTries = runner.run(s -> {}).serviceLevels().totalRequests();
        }
        Map<String, Integer> came = new HashMap<>();
        for (int i = 1; i <= 3; i++) {
            CapturedTraffic traffic =
                    CapturedTraffic.read(folder.resolve("traffic/initiator-" + i + ".traffic"));
            assertTrue(traffic.complete());
            traffic.requests().forEach(a -> came.merge(a.requestClass(), 1, Integer::sum));
        }
        int all = came.values().stream().mapToInt(n -> n).sum();
        assertTrue(
                all >= firstTries && all < 1.3 * firstTries,
                "further tries are traffic too: " + all + ", " + firstTries);
        String text =
                Files.readString(REHEARSALS.resolve("slow.day"))
                        .replaceAll(
                                "(?m)^load .*$",
                                "load traffic=traffic/initiator-1.traffic,traffic/initiator-2.traffic,traffic/initiator-3.traffic retries=0")
                        .replaceAll("(?m)^lasts .*$", "lasts 14s");
        for (String speed : List.of("", " speed=2")) {
            Scenario again =
                    ScenarioParser.read(
                            folder.resolve("again.day").toString(),
                            "again",
                            text.replace("retries=0", "retries=0" + speed));
            SimulationRun.SimulationResult replayed = SimulationRun.run(again, null);
            came.forEach(
                    (category, n) ->
                            assertEquals(
                                    n.longValue(),
                                    replayed.serviceLevels().requestClass(category).requests()));
            assertEquals(0, replayed.unfinished());
        }
        Scenario small =
                ScenarioParser.read(
                        folder.resolve("again.day").toString(),
                        "again",
                        text.replaceAll("(?m)^targets 8 ", "targets 2 "));
        assertTrue(
                assertThrows(IOException.class, () -> SimulationRun.run(small, null))
                        .getMessage()
                        .contains("wants shard"));
    }

    /**
     * Decisions that fail break off what is held; what still comes is rejected, not left in a queue
     * that nobody takes from.
     */
    @Test
    void whatComesToALoopThatFailedIsRejected() throws Exception {
        Scenario scenario = ScenarioParser.read(REHEARSALS.resolve("slow.day"));
        Path recording = folder.resolve("recording");
        SimulatedEnvironment world =
                new SimulatedEnvironment(4, SimulatedEnvironment.Timing.LOOPBACK);
        int[] calls = new int[1];
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        recording,
                        false,
                        null,
                        world,
                        () ->
                                (now, events) -> {
                                    if (events.stream()
                                                    .anyMatch(
                                                            e ->
                                                                    e
                                                                            instanceof
                                                                            milletyoke.scheduler.api
                                                                                    .Event
                                                                                    .RequestReceived)
                                            && ++calls[0] > 30) {
                                        throw new IllegalStateException("made to fail");
                                    }
                                    return List.of();
                                })) {
            ScenarioRunner.ScenarioResult result = runner.run(s -> {});
            assertEquals(0, result.unfinished());
            assertFalse(result.isShutdownClean(), "a loop that failed says so");
        }
        assertEquals(0, Audit.audit(recording).rule(1).violations());
    }

    /** A loop that took more than one turn's part at once dropped what stood next in its queue. */
    @Test
    void aFloodOfOneMomentLosesNothing() throws Exception {
        SimulatedEnvironment world =
                new SimulatedEnvironment(5, SimulatedEnvironment.Timing.LOOPBACK);
        Discovery discovery =
                new Discovery(
                        0, 1, world.newTimerExecutor("discovery", 1), FrameObserver.NONE, world);
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
                        world,
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
        Map<Long, Integer> answers = new HashMap<>();
        PeerConnection[] client = new PeerConnection[1];
        world.openNetwork("client", 1, FrameObserver.NONE)
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
                                answers.merge(frame.getResponse().getNumber(), 1, Integer::sum);
                            }

                            @Override
                            public void onClosed(PeerConnection peer, String why) {}
                        },
                        new FrameLimits(65_536, 64 << 20, 5_000_000, 0),
                        why -> {});
        world.sleep(1_000_000);
        for (long n = 1; n <= 3_000; n++) { // all arrive within the time of one turn
            client[0].enqueue(
                    Frame.newBuilder()
                            .setRequest(
                                    Request.newBuilder()
                                            .setNumber(n)
                                            .setShard(0)
                                            .setVolume("v" + n % 7)
                                            .setPlan("basic")
                                            .setRequestClass("read")
                                            .setInitiatorCount(1)
                                            .setUnits(1)
                                            .setTimeLeftMicros(500_000))
                            .build());
        }
        client[0].flush();
        world.sleep(2_000_000);
        assertEquals(3_000, answers.size());
        assertTrue(answers.values().stream().allMatch(n -> n == 1));
        initiator.kill();
    }
}
