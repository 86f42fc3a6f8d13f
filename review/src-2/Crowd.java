import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Idle clients fill the descriptors: each asked once, got its answer and keeps its connection. New
 * clients come meanwhile, each with one request. A new connection may be shut unread; a request on
 * one that is not shut needs its final answer by half a second after its time.
 */
final class Crowd {
    private static final int ROUNDS = 5;
    private static final AtomicInteger COUNT = new AtomicInteger();
    private static final int IDLE_CLIENTS = 700;
    private static final double REMAINING_S = 0.5;

    /** Half a second, the 50 ms of all times on sockets, and 0.15 s of a held-up process. */
    private static final long LATE_MICROS = 500_000 + 50_000 + 150_000;

    private static final int PATIENCE_MILLIS = 8_000;

    private static final List<Kit.Client> IDLE = Collections.synchronizedList(new ArrayList<>());
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger SHUT = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();

    public static void main(String[] arguments) {
        Kit.main(Crowd::play);
    }

    private static boolean play() throws Exception {
        List<Kit.Target> targets =
                new ArrayList<>(List.of(new Kit.Target("s-a", 0), new Kit.Target("s-b", 1)));
        Kit.Discovery discovery = new Kit.Discovery(targets);
        Kit.Program program =
                new Kit.Program(
                        "n1",
                        Kit.config("n1", discovery.port(), discovery.whole(), 2, ""),
                        discovery.port());
        program.awaitReady();
        warmUp(program.port);
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> clients = new ArrayList<>();
            if (Kit.TROUBLE) {
                for (int i = 0; i < IDLE_CLIENTS; i++) {
                    Kit.Client client = new Kit.Client(program.port);
                    Kit.Request request = read(i % 2, 2.5);
                    client.send(request);
                    clients.add(Kit.start("idle", () -> awaitAndStay(client, request)));
                }
                Kit.sleep(300);
            }
            for (int i = 0; i < 20; i++) {
                clients.add(Kit.start("new", () -> askOnce(program.port)));
                Kit.sleep(50);
            }
            for (Thread client : clients) {
                client.join(PATIENCE_MILLIS);
            }
            Kit.say("round " + round + ": " + IDLE.size() + " idle clients were answered");
            for (Kit.Client idle : IDLE) {
                idle.close();
            }
            IDLE.clear();
            Kit.sleep(1_000);
        }
        Kit.say(
                "requests of new clients: " + ANSWERED + " answered in time, " + SHUT
                        + " shut unread, " + LATE + " answered later than 0.7 s after their time or never");
        return LATE.get() == 0;
    }

    private static Kit.Request read(int shard, double remaining) {
        String volume = String.format("%016x", 1 + COUNT.incrementAndGet() % 50);
        return new Kit.Request("fetch", "gold", shard, remaining, 1, null, volume);
    }

    /** Lets the program reach its usual speed. */
    private static void warmUp(int port) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(Kit.start("warm-up", () -> askOften(port)));
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static boolean askOften(int port) throws Exception {
        try (Kit.Client client = new Kit.Client(port)) {
            for (int i = 0; i < 150; i++) {
                client.ask(read(i % 2, 2.5), PATIENCE_MILLIS);
            }
        }
        return true;
    }

    private static boolean awaitAndStay(Kit.Client client, Kit.Request request) throws Exception {
        if (client.receive(request, PATIENCE_MILLIS) != null) {
            IDLE.add(client);
        }
        return true;
    }

    private static boolean askOnce(int port) throws Exception {
        Kit.Request request = read(1, REMAINING_S);
        long sentAt = Kit.micros();
        try (Kit.Client client = new Kit.Client(port)) {
            Kit.Message answer = client.ask(request, PATIENCE_MILLIS);
            long lateMicros = Kit.micros() - sentAt - (long) (REMAINING_S * 1e6);
            if (answer == null) {
                SHUT.incrementAndGet();
            } else if (lateMicros > LATE_MICROS) {
                LATE.incrementAndGet();
                Kit.note("LATE: " + request.txn + " by " + lateMicros + " us: " + answer.status());
            } else {
                ANSWERED.incrementAndGet();
            }
        } catch (SocketTimeoutException never) {
            LATE.incrementAndGet();
            Kit.note("LATE: " + request.txn + " was not answered in " + PATIENCE_MILLIS + " ms");
        } catch (IOException reset) {
            SHUT.incrementAndGet();
        }
        return true;
    }
}
