package milletyoke.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens to one process that is told to end and is killed at the earliest moment.
 *
 * @param seed of the clients' random choices
 * @param longestDeadlineMillis the longest deadline of the deployment
 * @param clientCount number of clients that send on open connections until the kill
 * @param maxPauseMillis longest pause of a client between two requests
 * @param hangingTargetCount number of targets that stop responding shortly before SIGTERM
 * @param idleClientCount number of clients that connect and send nothing
 * @param signals all signals but SIGTERM and SIGKILL, by time
 * @param isReloadedWhileStarting whether the process gets a SIGHUP as soon as it runs
 */
record RestartPlan(
        long seed,
        long longestDeadlineMillis,
        int clientCount,
        long maxPauseMillis,
        int hangingTargetCount,
        int idleClientCount,
        List<TimedSignal> signals,
        boolean isReloadedWhileStarting) {
    static final int TARGET_COUNT = 8;

    /** Requests sent later than this after SIGTERM must be answered before SIGKILL. */
    static final long TERMINATION_GRACE_MILLIS = 700;

    /** For how long a process may be held up at any moment. */
    static final long HOLD_MILLIS = 150;

    private static final long MIN_HOLD_MILLIS = 20;

    /** How long before the kill a process begins to close connections, at most and at least. */
    private static final long MAX_CLOSING_LEAD = 660;

    private static final long MIN_CLOSING_LEAD = 400;
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3_000;

    /** Time between two holds, in which the process can work. */
    private static final long MIN_HOLD_DISTANCE_MILLIS = 500;

    private static final long[] DEADLINES_MILLIS = {200, 400, 900, 3_000, 20_000};

    /** A signal and when it is sent, relative to SIGTERM. */
    record TimedSignal(long atMillis, String signal) {}

    /** Returns when SIGKILL is sent at the earliest, relative to SIGTERM. */
    long killAtMillis() {
        return Math.min(longestDeadlineMillis, MAX_COUNTED_DEADLINE_MILLIS)
                + TERMINATION_GRACE_MILLIS;
    }

    /** Returns the signals that hold up a process from the given time on. */
    static List<TimedSignal> hold(long atMillis) {
        return hold(atMillis, HOLD_MILLIS);
    }

    private static List<TimedSignal> hold(long atMillis, long millis) {
        return List.of(
                new TimedSignal(atMillis, "STOP"), new TimedSignal(atMillis + millis, "CONT"));
    }

    /** Draws a plan from a seed. */
    static RestartPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long deadlineMillis = DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)];
        int hangingCount = random.nextInt(3) == 0 ? TARGET_COUNT : random.nextInt(TARGET_COUNT + 1);
        RestartPlan withoutSignals =
                new RestartPlan(
                        seed,
                        deadlineMillis,
                        random.nextInt(30, 100),
                        random.nextInt(5, 60),
                        hangingCount,
                        random.nextInt(4) == 0 ? 350 : 0,
                        List.of(),
                        random.nextInt(3) == 0);
        return withoutSignals.withSignals(drawSignals(random, withoutSignals.killAtMillis()));
    }

    RestartPlan withSignals(List<TimedSignal> sent) {
        return new RestartPlan(
                seed,
                longestDeadlineMillis,
                clientCount,
                maxPauseMillis,
                hangingTargetCount,
                idleClientCount,
                sent,
                isReloadedWhileStarting);
    }

    /** Adds a hold around the closing of connections, unless another one is close to it. */
    private static void addHoldOverClosing(
            SplittableRandom random, long killAtMillis, List<TimedSignal> signals) {
        long startMillis = killAtMillis - random.nextLong(MIN_CLOSING_LEAD, MAX_CLOSING_LEAD);
        long millis = random.nextLong(MIN_HOLD_MILLIS, HOLD_MILLIS + 1);
        boolean isClear =
                signals.stream()
                        .filter(signal -> signal.signal().equals("STOP"))
                        .allMatch(
                                signal ->
                                        Math.abs(signal.atMillis() - startMillis)
                                                > MIN_HOLD_DISTANCE_MILLIS);
        if (isClear) {
            signals.addAll(hold(startMillis, millis));
        }
    }

    private static List<TimedSignal> drawSignals(SplittableRandom random, long killAtMillis) {
        List<TimedSignal> signals = new ArrayList<>();
        if (random.nextBoolean()) {
            signals.addAll(hold(-1));
        }
        if (random.nextBoolean()) {
            signals.addAll(hold(random.nextLong(killAtMillis - 400, killAtMillis - HOLD_MILLIS)));
        }
        long middleMillis = random.nextLong(MIN_HOLD_DISTANCE_MILLIS, killAtMillis);
        if (middleMillis < killAtMillis - 2 * MIN_HOLD_DISTANCE_MILLIS) {
            signals.addAll(hold(middleMillis));
        }
        for (int count = random.nextInt(4); count > 0; count--) {
            signals.add(new TimedSignal(random.nextLong(-400, killAtMillis - 100), "HUP"));
        }
        if (random.nextInt(3) == 0) {
            signals.add(new TimedSignal(random.nextLong(1, killAtMillis - 100), "TERM"));
        }
        addHoldOverClosing(random, killAtMillis, signals);
        signals.sort(Comparator.comparingLong(TimedSignal::atMillis));
        return List.copyOf(signals);
    }
}
