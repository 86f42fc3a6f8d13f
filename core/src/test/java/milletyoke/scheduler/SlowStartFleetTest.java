package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One target comes back cold under the demand of a whole fleet, each initiator deciding alone, some
 * of them restarted meanwhile: in no window of the stated length does it get more than its budget
 * of N and 2 x root of N + 2 beside. No sockets, virtual time.
 */
class SlowStartFleetTest {
    private static final long FALL = 1_000_000;
    private static final long COLD = 10_000_000;
    private static final long AIM = 400_000;
    private static final long TTL = 2_500_000;
    private static final double TIP = 2;
    private static final double SHARE = 0.35;

    private record Due(long at, long number, Runnable task) {}

    /**
     * A target that serves in turn of arrival, with a capacity that grows evenly (units a second).
     */
    private final class Target {
        final double full;
        final long born;
        double backlog;
        long workedAt;
        final ArrayDeque<double[]> sent = new ArrayDeque<>();
        double worst = Double.NEGATIVE_INFINITY;
        double inAll;

        Target(double full, long born) {
            this.full = full;
            this.born = born;
            workedAt = born;
        }

        double capacity() {
            return full
                    * Math.min(1, SHARE + (1 - SHARE) * Math.max(0, now - born) / (double) COLD);
        }

        /** Microseconds until what is put in now is served. */
        long put(double units, boolean counts) {
            backlog = Math.max(0, backlog - (now - workedAt) / 1e6 * capacity()) + units;
            workedAt = now;
            if (counts) {
                inAll += units;
                sent.addLast(new double[] {now, units});
                while (sent.peekFirst()[0] <= now - FALL) {
                    sent.removeFirst();
                }
                double window = sent.stream().mapToDouble(s -> s[1]).sum();
                double n = TIP * capacity() * FALL / 1e6;
                worst =
                        now < born + COLD
                                ? Math.max(worst, window - (n + 2 * Math.sqrt(n) + 2))
                                : worst;
            }
            return (long) (backlog / capacity() * 1e6);
        }
    }

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(
                    java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
    private final Map<String, double[]> open = new HashMap<>();
    private long now = 1_000_000;
    private long numbers;

    private void at(long time, Runnable task) {
        queue.add(new Due(time, numbers++, task));
    }

    private final class Initiator {
        final SchedulerSettings given;
        final String name;
        RequestScheduler decide;
        List<Event> events = new ArrayList<>();
        final Map<String, Integer> relays = new HashMap<>();
        int life;

        Initiator(String name, SchedulerSettings given) {
            this.name = name;
            this.given = given;
        }

        void start(Event.EndpointListReceived list) {
            decide = new RequestScheduler();
            life++;
            relays.clear();
            events =
                    new ArrayList<>(
                            List.of(new Event.Started(name.hashCode() * 31L + life, given), list));
            turn();
        }

        void turn() {
            while (!events.isEmpty()) {
                List<Event> all = events;
                events = new ArrayList<>();
                decide.decide(now, all).forEach(this::carryOut);
            }
        }

        void later(long in, Event event) {
            int of = life;
            at(
                    now + in,
                    () -> {
                        if (of == life) {
                            events.add(event);
                            turn();
                        }
                    });
        }

        void carryOut(Action action) {
            if (action instanceof Action.SendAttempt a) {
                int n = relays.merge(a.id(), 1, Integer::sum) - 1;
                Target t = targets.get(a.target());
                double units = open.get(a.id())[0];
                long took = 400 + t.put(units, true);
                boolean inTime = now + took < a.deadlineMicros();
                later(
                        inTime ? took : a.deadlineMicros() - now,
                        new Event.AttemptEnded(
                                a.id(),
                                n,
                                inTime,
                                inTime ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                                took));
            } else if (action instanceof Action.SendProbe a) {
                long took =
                        400
                                + targets.get(a.target())
                                        .put(0.01, false); // it waits in turn, and costs little
                later(
                        Math.min(took, 250_000),
                        new Event.ProbeEnded(
                                a.target(),
                                took < 250_000 ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                                took,
                                -1));
            } else if (action instanceof Action.ScheduleWakeUp a) {
                later(a.delayMicros(), new Event.WakeUp());
            }
        }
    }

    private final Map<String, Target> targets = new HashMap<>();
    private long ids;

    private void ask(Initiator i, int shard, double units) {
        String id = "a" + ids++;
        open.put(id, new double[] {units});
        i.events.add(
                new Event.RequestReceived(
                        id, shard, "x" + id, "v" + i.name, TTL, "p", "c", 1, units));
        i.turn();
    }

    private static SchedulerSettings provisioning(int initiators, double bears, boolean probes) {
        return new SchedulerSettings(
                initiators,
                List.of(
                        new SchedulerSettings.RequestClass(
                                "c",
                                SchedulerSettings.Idempotency.IDEMPOTENT,
                                SchedulerSettings.DeduplicationScope.CELL,
                                0,
                                false,
                                AIM,
                                1)),
                List.of(new SchedulerSettings.ServicePlan("p", 0, 1, 0, 0, 0)),
                new SchedulerSettings.Capabilities(3, probes, true, true, 500_000),
                new SchedulerSettings.RuleLimits(0, COLD, SHARE, bears, FALL, TIP, 0, 0, 0, 0),
                false);
    }

    /**
     * @return the largest excess over the bound in any window, and how many accesses were served
     */
    private double[] play(
            int initiators,
            double full,
            double demand,
            int restarts,
            boolean probes,
            boolean uneven,
            long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        double bears = TIP * SHARE * full * FALL / 1e6;
        long born = now + 3_000_000;
        queue.clear();
        open.clear();
        targets.put("old", new Target(full, now - 2 * COLD));
        targets.put("warm", new Target(full, now - 2 * COLD));
        Target cold = new Target(full, born);
        targets.put("new", cold);
        List<Initiator> fleet = new ArrayList<>();
        Event.Target warm = new Event.Target(1, "warm", "z", Event.Health.ACTIVE, 0);
        Event.EndpointListReceived before =
                new Event.EndpointListReceived(
                        Event.ListScope.REPLACE,
                        List.of(new Event.Target(0, "old", "z", Event.Health.ACTIVE, 0), warm));
        Event.EndpointListReceived after =
                new Event.EndpointListReceived(
                        Event.ListScope.REPLACE,
                        List.of(new Event.Target(0, "new", "z", Event.Health.ACTIVE, born), warm));
        for (int i = 0; i < initiators; i++) {
            Initiator one = new Initiator("i" + i, provisioning(initiators, bears, probes));
            fleet.add(one);
            one.start(before);
            at(
                    born + 10_000 + chance.nextLong(400_000),
                    () -> {
                        one.events.add(after);
                        one.turn();
                    });
        }
        for (int r = 0; r < restarts; r++) {
            Initiator one = fleet.get(r);
            at(born + 1_000_000 + chance.nextLong(6_000_000), () -> one.start(after));
        }
        for (long t = now; t < born + COLD; t += (long) (1e6 / demand)) {
            Initiator one =
                    fleet.get(
                            uneven && chance.nextInt(3) > 0
                                    ? chance.nextInt(Math.max(1, initiators / 5))
                                    : chance.nextInt(initiators));
            double units = uneven ? 0.4 + 1.2 * chance.nextDouble() : 1;
            int shard = chance.nextInt(2);
            at(t + chance.nextLong(20_000), () -> ask(one, shard, units));
        }
        while (!queue.isEmpty() && queue.peek().at() < born + COLD) {
            Due next = queue.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        return new double[] {cold.worst, cold.inAll};
    }

    /**
     * Three seeds each: a fleet of 3 has even parts of whole accesses, one of 100 a fifth of one,
     * and only lots.
     */
    @ParameterizedTest
    @CsvSource({
        "3,30,60,0,true,false",
        "20,30,80,0,true,false",
        "30,30,80,8,true,false",
        "30,30,200,8,true,true",
        "100,40,200,30,true,true",
        "20,30,80,6,false,false",
        "30,60,200,8,false,true",
        "25,12,60,6,true,true",
        "100,30,80,0,false,false",
        "100,12,200,30,false,false",
        "30,12,200,8,false,false",
        "40,8,100,12,true,false"
    })
    void theFleetTogetherKeepsUnderTheBound(
            int initiators,
            double full,
            double demand,
            int restarts,
            boolean probes,
            boolean uneven) {
        for (long seed = 11; seed < 14; seed++) {
            double excess = play(initiators, full, demand, restarts, probes, uneven, seed)[0];
            assertTrue(excess <= 0, "over the bound by " + excess + " mean accesses, seed " + seed);
        }
    }

    /**
     * The even part of 100 initiators is 21 / 100 of a mean access at first and 60 / 100 in the
     * end: none can ever be sent by it. By lots some are.
     */
    @ParameterizedTest
    @CsvSource({"30,80,true,90", "100,80,true,40", "100,80,false,30", "100,30,false,8"})
    void aColdTargetIsNotStarvedByHowManyThereAre(
            int initiators, double demand, boolean probes, double least) {
        double sent = 0;
        for (long seed = 11; seed < 14; seed++) {
            sent += play(initiators, 30, demand, 0, probes, false, seed)[1] / 3;
        }
        assertTrue(sent >= least, "units in ten seconds: " + sent);
    }
}
