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
 * Holds the state shared by all parts of one scenario run: the scenario, its environment, the
 * timer, the seeded random numbers and the recording.
 */
final class RunContext {
    private static final Logger LOG = LoggerFactory.getLogger(RunContext.class);

    /**
     * A task of the run that may fail; a failure is logged and added to the recording as a note.
     */
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
     * @param recording file to record the frames of all connections in; null for no recording
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

    /** Returns the random numbers of the run; only for the set-up, which runs in one thread. */
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

    FrameObserver observer(String observer) {
        return recorder == null ? FrameObserver.NONE : recorder.observer(observer);
    }

    void note(String observer, Note.Kind kind, String text, double value) {
        if (recorder != null) {
            recorder.note(observer, kind, text, value);
        }
    }

    boolean isFinished() {
        return isFinished;
    }

    /** Prevents scheduled tasks from starting from now on. */
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
        } catch (Exception e) {
            LOG.error("scenario task failed", e);
            note("stage", Note.Kind.OTHER, "scenario task failed: " + e, 0);
        }
    }

    /** Returns the indices below {@code count} that a selection names or that are drawn for it. */
    List<Integer> select(Scenario.Selection selection, int count) {
        if (selection.number() > 0) {
            return List.of(selection.number() - 1);
        }
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            indices.add(i);
        }
        Collections.shuffle(indices, new Random(nextSeed()));
        return indices.subList(0, Math.max(1, (int) Math.round(selection.part() * count)));
    }
}
