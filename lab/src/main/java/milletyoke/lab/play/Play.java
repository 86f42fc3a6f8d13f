package milletyoke.lab.play;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import milletyoke.lab.world.LabWorld;
import milletyoke.port.Decisions;
import milletyoke.rehearsal.Stage;
import milletyoke.rehearsal.script.BadDay;
import milletyoke.standins.Service;

/**
 * Plays a day in virtual time: the rehearsal's own stage, daemons and stand-ins, in a world of the
 * lab.
 */
public final class Play {
    private Play() {}

    /**
     * What came of a day.
     *
     * @param seconds service of each second's asking so far, in the order of time
     * @param unfinished tries still without an answer when all should have had one
     * @param clean every initiator that was there at the end left with nothing unanswered
     * @param coldUsed the largest part of what a cold target bears that any was sent
     * @param digest stands for all that travelled and when
     * @param events that happened
     * @param wall microseconds that the play took
     */
    public record Came(
            Service service,
            List<Double> seconds,
            long unfinished,
            boolean clean,
            double coldUsed,
            long digest,
            long events,
            long wall) {}

    /**
     * @param recording where all that the ends of connections saw is written; null for nowhere
     */
    public static Came of(BadDay day, Path recording) throws IOException {
        return of(day, recording, false, null);
    }

    /**
     * @param straight clients go straight to the targets, for comparison
     * @param instead of the product's decisions; null for these
     */
    public static Came of(BadDay day, Path recording, boolean straight, Supplier<Decisions> instead)
            throws IOException {
        return of(day, recording, straight, instead, 0);
    }

    /**
     * @param turn another one is the same day with the same draws, and frames travel otherwise, as
     *     no play on sockets is the next
     */
    public static Came of(
            BadDay day, Path recording, boolean straight, Supplier<Decisions> instead, long turn)
            throws IOException {
        long began = System.nanoTime();
        BadDay.Network n = day.network();
        LabWorld.Physics physics = new LabWorld.Physics(n.travel()[0], n.travel()[1], n.turn());
        LabWorld world = new LabWorld((day.seed() ^ 0x6C6162L) + 31 * turn, physics);
        try (Stage stage = new Stage(day, recording, straight, null, world, instead)) {
            List<Double> seconds = new ArrayList<>();
            Stage.Played played = stage.play(service -> seconds.add(service.whole()), () -> {});
            return new Came(
                    played.service(),
                    seconds,
                    played.unfinished(),
                    played.leftClean(),
                    played.coldUsed(),
                    world.digest(),
                    world.happened(),
                    (System.nanoTime() - began) / 1000);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + day.name() + " was played", stopped);
        }
    }
}
