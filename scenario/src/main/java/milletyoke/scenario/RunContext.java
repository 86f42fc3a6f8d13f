package milletyoke.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.scenario.script.Scenario;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.proto.Note;
import milletyoke.wire.recording.Recorder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What all parts of one scenario run share: the scenario, its environment, the timer, the seeded
 * random numbers and the recording.
 */
final class RunContext {
    private static final Logger LOG = LoggerFactory.getLogger(RunContext.class);

    /** An action of the run that may fail; a failure is logged and noted in the recording. */
    interface Task {
        void run() throws Exception;
    }

    private final Scenario scenario;
    private final ExecutionEnvironment environment;
    private final ScheduledExecutorService executor;
    private final SplittableRandom random;
    private final Recorder recorder;
    private volatile boolean isFinished;

    /**
     * @param recording where the frames seen by the sockets are written; null for no recording
     */
    RunContext(Scenario scenario, ExecutionEnvironment environment, Path recording)
            throws IOException {
        this.scenario = scenario;
        this.environment = environment;
        executor = environment.newTimerExecutor("clockwork", 3);
        random = new SplittableRandom(scenario.seed());
        recorder = recording == null ? null : new Recorder(recording, environment::monotonicMicros);
    }

    Scenario scenario() {
        return scenario;
    }

    ExecutionEnvironment environment() {
        return environment;
    }

    ScheduledExecutorService executor() {
        return executor;
    }

    /** Random numbers of the run; for the set-up, which draws from one thread. */
    SplittableRandom random() {
        return random;
    }

    /** Draws a seed; safe from any thread. */
    synchronized long nextSeed() {
        return random.nextLong();
    }

    /** Draws a value of a range, its upper end excluded unless the range is a single value. */
    long between(long[] range) {
        return range[0]
                + (range[1] > range[0] ? Math.floorMod(nextSeed(), range[1] - range[0]) : 0);
    }

    FrameObserver observer(String witness) {
        return recorder == null ? FrameObserver.NONE : recorder.observer(witness);
    }

    void note(String who, Note.Kind kind, String text, double figure) {
        if (recorder != null) {
            recorder.note(who, kind, text, figure);
        }
    }

    boolean isFinished() {
        return isFinished;
    }

    /** From here on no scheduled task starts. */
    void finish() {
        isFinished = true;
    }

    void closeRecording() throws IOException {
        if (recorder != null) {
            recorder.close();
        }
    }

    /** Runs a task on the timer after a delay, unless the run has finished by then. */
    void schedule(long delayMicros, Task task) {
        executor.schedule(() -> runUnlessFinished(task), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void runUnlessFinished(Task task) {
        if (isFinished) {
            return;
        }
        try {
            task.run();
        } catch (Exception failed) {
            LOG.error("a trouble could not be played", failed);
            note("stage", Note.Kind.OTHER, "a trouble could not be played: " + failed, 0);
        }
    }

    /** The indices, below a count, that a selection of the script names or draws. */
    List<Integer> select(Scenario.Selection selection, int count) {
        if (selection.number() > 0) {
            return List.of(selection.number() - 1);
        }
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(nextSeed()));
        return all.subList(0, Math.max(1, (int) Math.round(selection.part() * count)));
    }
}
