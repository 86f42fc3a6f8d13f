import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A target sends some answers twice, the second copy 5 ms after the first and only when nothing else
 * waits on the connection. The program is held up for 0.1 s just then. Each client must get the
 * answer that was made for its own request.
 */
final class SecondAnswer {
    private static final int ROUNDS = 150;
    private static final long COPY_AFTER_MILLIS = 5;
    private static final long HELD_MILLIS = 100;

    /** The longest time for which a program may be held up. */
    private static final long MOST_HELD_MICROS = 150_000;

    /** A copy that comes later might cross a request that was sent in good faith. */
    private static final long MOST_COPIED_AFTER_MICROS = 9_000;

    private static final int OTHER_CLIENTS = 20;

    /** Answers every request at once, and again a little later if nothing else came. */
    private static final class RepeatingTarget extends Kit.Target {
        volatile boolean repeatsNext;

        /** When the last copy was written, and how long after its answer. */
        volatile long copiedAtMicros;

        volatile long copiedAfterMicros;

        RepeatingTarget(String uid, int shard) throws Exception {
            super(uid, shard);
        }

        @Override
        void respond(Socket socket, InputStream in, OutputStream out, Kit.Message request)
                throws Exception {
            byte[] answer = Kit.answer(200, bodyFor(request.txn()));
            boolean repeats = repeatsNext;
            repeatsNext = false;
            out.write(answer);
            long answeredAt = Kit.micros();
            if (repeats) {
                Kit.sleep(COPY_AFTER_MILLIS);
                if (in.available() == 0) {
                    out.write(answer);
                    copiedAtMicros = Kit.micros();
                    copiedAfterMicros = copiedAtMicros - answeredAt;
                    Kit.note(uid + " sends the answer to " + request.txn() + " once more");
                }
            }
        }
    }

    public static void main(String[] arguments) {
        Kit.main(SecondAnswer::play);
    }

    private static boolean play() throws Exception {
        RepeatingTarget target = new RepeatingTarget("s-twice", 0);
        List<Kit.Target> targets = new ArrayList<>(List.of(target, new Kit.Target("s-other", 1)));
        Kit.Discovery discovery = new Kit.Discovery(targets);
        Kit.Program program =
                new Kit.Program(
                        "n1",
                        Kit.config("n1", discovery.port(), discovery.whole(), 2, ""),
                        discovery.port());
        program.awaitReady();
        Kit.Signals signals = new Kit.Signals();
        List<Kit.Client> others = new ArrayList<>();
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            others.add(new Kit.Client(program.port));
        }
        Kit.Client first = new Kit.Client(program.port);
        Kit.Client second = new Kit.Client(program.port);
        int foreign = 0;
        int answered = 0;
        int notJudged = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Kit.Request one = Kit.Request.read(0, 2.5);
            Kit.Request two = Kit.Request.read(0, 2.5);
            target.repeatsNext = Kit.TROUBLE;
            foreign += isForeign(one, first.ask(one, 5_000)) ? 1 : 0;
            second.send(two);
            long heldAt = Kit.micros();
            if (Kit.TROUBLE) {
                Kit.sleep(1);
                signals.send("STOP", program.process);
                Kit.note("held up");
            }
            Kit.sleep(HELD_MILLIS / 2);
            List<Kit.Request> asked = new ArrayList<>();
            for (Kit.Client other : others) {
                Kit.Request request = Kit.Request.read(1, 2.5);
                asked.add(request);
                other.send(request);
            }
            Kit.sleep(HELD_MILLIS / 2);
            long continuedAt = Kit.micros();
            if (Kit.TROUBLE) {
                Kit.note("runs again");
                signals.send("CONT", program.process);
            }
            boolean isJudged =
                    Kit.micros() - heldAt <= MOST_HELD_MICROS
                            && target.copiedAtMicros < continuedAt
                            && target.copiedAfterMicros <= MOST_COPIED_AFTER_MICROS;
            notJudged += isJudged ? 0 : 1;
            Kit.Message answer = second.receive(two, 5_000);
            answered += answer.status() == 200 ? 1 : 0;
            foreign += isForeign(two, answer) && isJudged ? 1 : 0;
            for (int i = 0; i < OTHER_CLIENTS; i++) {
                foreign += isForeign(asked.get(i), others.get(i).receive(asked.get(i), 5_000)) ? 1 : 0;
            }
            Kit.sleep(100);
        }
        Kit.say(
                foreign + " answers that were made for another request, in " + ROUNDS
                        + " rounds; " + answered + " second requests were served; "
                        + notJudged + " rounds not judged: held up for over 0.15 s, or the copy late");
        return foreign == 0;
    }

    private static boolean isForeign(Kit.Request request, Kit.Message answer) {
        boolean isForeign =
                answer.status() == 200 && !answer.text().endsWith(" txn=" + request.txn);
        if (isForeign) {
            Kit.note("FOREIGN: " + request.txn + " was answered \"" + answer.text() + "\"");
        }
        return isForeign;
    }
}
