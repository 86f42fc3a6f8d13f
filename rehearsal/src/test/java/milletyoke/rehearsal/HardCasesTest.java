package milletyoke.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.setup.Setup;
import milletyoke.wire.Peer;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Final;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Hello;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Reply;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One initiator on loopback sockets against peers that behave badly, one way at a time. */
@Timeout(60)
class HardCasesTest {
    @TempDir Path folder;

    @Test
    void oneShotWhoseConnectionResetsIsBrokenOffAndNeverSentAgain() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "write", 0, 2000);
            a.nextRelay().peer().reset();
            assertEquals(Final.BROKEN_OFF, p.client.nextAnswer(3000).getFinal());
            assertNull(p.client.next(300));
            assertEquals(0, p.count(Count.RELAYS_FURTHER));
        }
    }

    @Test
    void harmlessWhoseConnectionResetsIsSentAgain() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "read", 0, 2000);
            a.nextRelay().peer().reset();
            Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void halfAFrameAndThenSilenceClosesThatConnectionOnly() throws Exception {
        try (Puppets p =
                        new Puppets(
                                Puppets.transport(300_000),
                                new Setup.Room(10, 256, 10, 1e6, 1L << 40),
                                null);
                Socket half = new Socket("127.0.0.1", p.initiator.port())) {
            Puppets.End a = p.target("a", 0);
            half.getOutputStream().write(new byte[] {0, 0, 1, 0, 7, 7});
            half.getOutputStream().flush();
            half.setSoTimeout(5000);
            while (half.getInputStream().read() >= 0) {
                continue; // its hello and its goodbye, and then the end
            }
            p.ask(p.client, "read", 0, 2000);
            Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void frameOverTheBoundClosesThatConnectionOnly() throws Exception {
        try (Puppets p = new Puppets();
                Socket large = new Socket("127.0.0.1", p.initiator.port())) {
            Puppets.End a = p.target("a", 0);
            large.getOutputStream().write(ByteBuffer.allocate(4).putInt(65_537).array());
            large.setSoTimeout(5000);
            String said = new String(large.getInputStream().readAllBytes(), "ISO-8859-1");
            assertTrue(said.contains("65536 are the most"), said);
            p.ask(p.client, "read", 0, 2000);
            Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void replyToARelayLongGivenUpIsDropped() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "write", 0, 200);
            Puppets.Got relay = a.nextRelay();
            assertEquals(Final.BROKEN_OFF, p.client.nextAnswer(3000).getFinal());
            Puppets.reply(relay, Outcome.SUCCEEDED);
            Puppets.until(() -> p.count(Count.LATE_REPLIES) == 1, "the reply is counted");
            assertNull(p.client.next(200));
        }
    }

    /**
     * CI saw it once: an access that crossed the goodbye of a leaving initiator was closed upon,
     * unread.
     */
    @Test
    void accessesThatCrossTheGoodbyeHaveTheirAnswers() throws Exception {
        for (int round = 0; round < 12; round++) {
            try (Puppets p = new Puppets()) {
                p.target("a", 0);
                boolean[] away = new boolean[1];
                Thread leaver =
                        new Thread(
                                () -> {
                                    try {
                                        p.initiator.leave(5000);
                                    } catch (InterruptedException stopped) {
                                        Thread.currentThread().interrupt();
                                    }
                                });
                long asked = 0;
                long crossing = 0;
                HashMap<Long, Integer> answers = new HashMap<>();
                leaver.start();
                for (int quiet = 0; quiet < 200 && p.client.peer.isOpen(); ) {
                    // every other round nothing is held, and the initiator is done at once
                    if (crossing < 300
                            && (away[0]
                                    || round % 2 == 0)) { // slow to notice, with much on its way
                        asked = p.ask(p.client, "write", 1, 300);
                        crossing += away[0] ? 1 : 0;
                    }
                    Frame next = p.client.next(crossing < 300 && away[0] ? 0 : 5);
                    quiet = next == null && (crossing >= 300 || !away[0]) ? quiet + 1 : 0;
                    away[0] |= next != null && next.hasGoingAway();
                    if (next != null && next.hasAnswer()) {
                        answers.merge(next.getAnswer().getNumber(), 1, Integer::sum);
                        if (crossing >= 300 && answers.size() == asked) {
                            p.client.peer.close("all is answered");
                        }
                    }
                }
                leaver.join(5000);
                assertTrue(away[0], "the initiator said that it goes");
                assertEquals(asked, answers.size(), "each access has an answer, in round " + round);
                assertTrue(answers.values().stream().allMatch(n -> n == 1), "and only one");
            }
        }
    }

    @Test
    void twoRepliesToOneRelayGiveOneAnswer() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "write", 0, 2000);
            Puppets.Got relay = a.nextRelay();
            Puppets.reply(relay, Outcome.SUCCEEDED);
            Puppets.reply(relay, Outcome.ERROR);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
            Puppets.until(() -> p.count(Count.LATE_REPLIES) == 1, "the second is counted");
            assertNull(p.client.next(200));
        }
    }

    @Test
    void clientThatVanishesLeavesNothingHeld() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            Puppets.End other = new Puppets.End();
            p.connect(other);
            p.ask(other, "slow", 0, 5000);
            p.ask(other, "slow", 7, 5000); // nobody holds that shard: it waits
            Puppets.Got relay = a.nextRelay();
            other.peer.reset();
            Puppets.until(() -> p.held() == 1, "only the relay out is held");
            Puppets.reply(relay, Outcome.SUCCEEDED);
            Puppets.until(() -> p.held() == 0, "nothing is held");
        }
    }

    @Test
    void clientThatReadsNothingIsClosedAndTheRestGoesOn() throws Exception {
        try (Puppets p = new Puppets();
                Socket deaf = new Socket()) {
            Puppets.End a = p.target("a", 0);
            deaf.setReceiveBufferSize(4096);
            deaf.connect(new java.net.InetSocketAddress("127.0.0.1", p.initiator.port()));
            OutputStream out = deaf.getOutputStream();
            write(
                    out,
                    Frame.newBuilder()
                            .setHello(
                                    Hello.newBuilder()
                                            .setLowestVersion(1)
                                            .setHighestVersion(1)
                                            .setRole(Role.CLIENT)
                                            .setName("deaf"))
                            .build());
            for (int i = 1; i <= 200; i++) {
                write(
                        out,
                        Frame.newBuilder()
                                .setAccess(
                                        Access.newBuilder()
                                                .setNumber(i)
                                                .setShard(0)
                                                .setVolume("v")
                                                .setPlan("basic")
                                                .setCategory("slow")
                                                .setUnits(1)
                                                .setTimeLeft(20_000_000))
                                .build());
            }
            var large = com.google.protobuf.ByteString.copyFrom(new byte[60_000]);
            Puppets.until(
                    () -> {
                        Puppets.Got relay = a.got.poll(20, TimeUnit.MILLISECONDS);
                        if (relay != null && relay.frame() != null && relay.frame().hasRelay()) {
                            relay.peer()
                                    .send(
                                            Frame.newBuilder()
                                                    .setReply(
                                                            Reply.newBuilder()
                                                                    .setOutcome(Outcome.SUCCEEDED)
                                                                    .setNumber(
                                                                            relay.frame()
                                                                                    .getRelay()
                                                                                    .getNumber())
                                                                    .setPayload(large))
                                                    .build());
                        }
                        return relay == null && p.count(Count.CLIENTS_LEFT) > 0;
                    },
                    "the deaf client is closed");
            deaf.setSoTimeout(5000);
            long took = 0;
            try {
                byte[] some = new byte[1 << 16];
                for (int n = deaf.getInputStream().read(some);
                        n >= 0;
                        n = deaf.getInputStream().read(some)) {
                    took += n;
                }
            } catch (java.io.IOException reset) {
                // closed with much unread
            }
            assertTrue(
                    took < 200 * 60_000,
                    "it got " + took + " bytes, so nothing was ever held back");
            Puppets.until(() -> p.held() == 0, "nothing is held for it");
            p.ask(p.client, "read", 0, 2000);
            Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
        }
    }

    private static void write(OutputStream out, Frame frame) throws java.io.IOException {
        byte[] body = frame.toByteArray();
        out.write(ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array());
    }

    @Test
    void targetThatAcceptsAndNeverSpeaksNeverRanAnything() throws Exception {
        try (Puppets p = new Puppets();
                ServerSocket mute = new ServerSocket(0)) {
            p.list("mute", 0, mute.getLocalPort(), Health.ON);
            p.ask(p.client, "write", 0, 2000);
            // A rejection: rule 2 lets a one-shot access be rejected only if it surely never ran.
            assertEquals(Final.REJECTED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void portNobodyListensOnNeverRanAnything() throws Exception {
        int nobody;
        try (ServerSocket free = new ServerSocket(0)) {
            nobody = free.getLocalPort();
        }
        try (Puppets p = new Puppets()) {
            p.list("gone", 0, nobody, Health.ON);
            p.ask(p.client, "write", 0, 2000);
            assertEquals(Final.REJECTED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void listThatDropsATargetLetsWhatIsOutThereFinish() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "slow", 0, 5000);
            Puppets.Got relay = a.nextRelay();
            p.list("a", 0, 1, Health.GONE);
            p.ask(p.client, "read", 0, 1000);
            assertEquals(
                    Final.REJECTED, p.client.nextAnswer(3000).getFinal(), "nothing new goes there");
            Puppets.reply(relay, Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
            assertNull(a.got.poll(), "a got nothing more");
        }
    }

    @Test
    void targetReplacedUnderANewIdTakesOverItsShard() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "slow", 0, 5000);
            Puppets.Got old = a.nextRelay();
            p.list("a", 0, 1, Health.DRAINING);
            Puppets.End b = p.target("b", 0);
            long second = p.ask(p.client, "read", 0, 2000);
            Puppets.reply(b.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(second, p.client.nextAnswer(3000).getNumber());
            Puppets.reply(old, Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
        }
    }

    @Test
    void loopBehindBySecondsAnswersOnceAndSendsNothingStale() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.initiator.standStill(1500, () -> {});
            p.ask(p.client, "write", 0, 300);
            p.ask(p.client, "slow", 0, 8000);
            Answer first = p.client.nextAnswer(4000);
            assertEquals(
                    Reason.EXPIRED, first.getReason(), "its time was up before it could be sent");
            Puppets.Got relay = a.nextRelay();
            assertEquals("slow", relay.frame().getRelay().getCategory());
            assertTrue(
                    relay.frame().getRelay().getTimeLeft() <= 6_600_000,
                    "the time it waited for the loop is not given twice");
            Puppets.reply(relay, Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
            assertNull(p.client.next(200));
        }
    }

    @Test
    void queueFullRejectsAtOnceAndLosesNothing() throws Exception {
        try (Puppets p =
                new Puppets(
                        Puppets.transport(5_000_000),
                        new Setup.Room(100_000, 64, 10, 1e6, 1L << 40),
                        null)) {
            p.target("a", 0);
            p.initiator.standStill(700, () -> {});
            for (int i = 0; i < 500; i++) {
                p.ask(
                        p.client, "read", 3,
                        2000); // nobody holds that shard: each waits for its answer
            }
            Map<Long, Integer> answers = new HashMap<>();
            int noPlace = 0;
            for (int i = 0; i < 500; i++) {
                Answer answer = p.client.nextAnswer(4000);
                assertNotNull(answer, "only " + i + " answers came");
                answers.merge(answer.getNumber(), 1, Integer::sum);
                noPlace += answer.getReason() == Reason.NO_PLACE ? 1 : 0;
            }
            assertEquals(500, answers.size(), "each access has one");
            assertTrue(noPlace > 300, noPlace + " were beyond the queue");
            assertNull(p.client.next(200));
        }
    }

    @Test
    void placesHeldAreBoundedAndComeBack() throws Exception {
        try (Puppets p =
                new Puppets(
                        Puppets.transport(5_000_000),
                        new Setup.Room(3, 256, 10, 1e6, 1L << 40),
                        null)) {
            Puppets.End a = p.target("a", 0);
            for (int round = 0; round < 3; round++) {
                for (int i = 0; i < 5; i++) {
                    p.ask(p.client, "slow", 0, 4000);
                }
                assertEquals(Reason.NO_PLACE, p.client.nextAnswer(3000).getReason());
                assertEquals(Reason.NO_PLACE, p.client.nextAnswer(3000).getReason());
                for (int i = 0; i < 3; i++) {
                    Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
                    assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
                }
                Puppets.until(() -> p.held() == 0, "the places are free");
            }
        }
    }

    @Test
    void whatCannotBeTakenIsSaidAtOnce() throws Exception {
        try (Puppets p = new Puppets()) {
            p.target("a", 0);
            p.ask(p.client, "nonsense", 0, 1000);
            assertEquals(Reason.UNACCEPTABLE, p.client.nextAnswer(3000).getReason());
            p.ask(p.client, "read", 0, 0);
            assertEquals(Reason.UNACCEPTABLE, p.client.nextAnswer(3000).getReason());
            p.ask(p.client, "read", 100, 1000);
            assertEquals(Reason.UNACCEPTABLE, p.client.nextAnswer(3000).getReason());
        }
    }

    @Test
    void numberUsedTwiceClosesTheClient() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            long number = p.ask(p.client, "slow", 0, 4000);
            a.nextRelay();
            p.client.peer.send(
                    Frame.newBuilder()
                            .setAccess(
                                    Access.newBuilder()
                                            .setNumber(number)
                                            .setVolume("v")
                                            .setPlan("basic")
                                            .setCategory("read")
                                            .setUnits(1)
                                            .setTimeLeft(1_000_000))
                            .build());
            Puppets.until(() -> !p.client.peer.isOpen(), "it is closed");
        }
    }

    @Test
    void leavingAnswersWhatIsHeldAndTakesNothingNew() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "slow", 0, 5000);
            Puppets.Got relay = a.nextRelay();
            boolean[] clean = new boolean[1];
            Thread leaving =
                    new Thread(
                            () -> {
                                try {
                                    clean[0] = p.initiator.leave(10_000);
                                } catch (InterruptedException stopped) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            leaving.start();
            Thread.sleep(100);
            p.ask(p.client, "read", 0, 1000);
            assertEquals(Reason.LEAVING, p.client.nextAnswer(3000).getReason());
            assertTrue(leaving.isAlive());
            Puppets.reply(relay, Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
            leaving.join(5000);
            assertTrue(clean[0]);
        }
    }

    @Test
    void killedInitiatorAnswersNothingAndKeepsItsList() throws Exception {
        Setup.Room room = new Setup.Room(10, 256, 10, 1e6, 1L << 40);
        Puppets.End a;
        try (Puppets p = new Puppets(Puppets.transport(5_000_000), room, folder)) {
            a = p.target("a", 0);
            p.ask(p.client, "write", 0, 4000);
            Puppets.Got relay = a.nextRelay();
            Peer before = p.client.peer;
            p.initiator.kill();
            Puppets.until(() -> !before.isOpen(), "the client sees a reset");
            assertNull(p.client.next(100), "no answer came");
            Puppets.reply(relay, Outcome.SUCCEEDED);
            Puppets.until(() -> !relay.peer().isOpen(), "the target sees a reset");
        }
        var again = new milletyoke.gateway.discovery.LastList(folder).load();
        assertEquals("a", again.getTarget(0).getId());
        java.nio.file.Files.write(
                folder.resolve("targets.list"), new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9});
        assertNull(
                new milletyoke.gateway.discovery.LastList(folder).load(),
                "one that does not check is not used");
        assertNotEquals(0, again.getVersion());
    }

    @Test
    void configurationThatDropsAVolumeAndAPoolLetsWhatIsHeldFinish() throws Exception {
        String rest =
                "fleet { initiators 1; }\ncategory slow { repeats one-shot; agreed 5s; }\nplan basic { weight 2; }\n"
                        + "plan other { weight 1; }\n";
        Path file =
                java.nio.file.Files.writeString(
                        folder.resolve("main.fleet"),
                        rest
                                + "pool p { targets a; }\nvolume v { plan other; hosts 1; }\nroute volume v to p;\n");
        Thread.sleep(50);
        var checked =
                milletyoke.config.Checker.check(
                        new milletyoke.config.disk.DiskLibrary(),
                        milletyoke.config.disk.DiskLibrary.name(file));
        var fleet = new Setup.FleetFile(checked.files().get(0), checked.fleet(), checked.files());
        Setup.Room room = new Setup.Room(10, 256, 10, 1e6, 1L << 40);
        try (Puppets p =
                new Puppets(Puppets.transport(5_000_000), room, folder.resolve("state"), fleet)) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "slow", 0, 8000);
            Puppets.Got relay = a.nextRelay();
            Puppets.until(
                    () -> p.initiator.loop().picture().volumes().containsKey("v"),
                    "the volume is accounted");
            assertEquals(
                    "other",
                    p.initiator.loop().picture().volumes().get("v").plan(),
                    "the file's, not the client's");
            java.nio.file.Files.writeString(
                    file, rest + "category fresh { repeats harmless; agreed 1s; }\n");
            Puppets.until(
                    () ->
                            p.initiator.loop().picture().events().stream()
                                    .anyMatch(e -> e.kind().equals("configuration")),
                    "the new version holds");
            Puppets.reply(relay, Outcome.SUCCEEDED);
            assertEquals(Final.ANSWERED, p.client.nextAnswer(3000).getFinal());
            p.ask(p.client, "fresh", 0, 1000);
            Puppets.reply(a.nextRelay(), Outcome.SUCCEEDED);
            assertEquals(
                    Final.ANSWERED,
                    p.client.nextAnswer(3000).getFinal(),
                    "a category that came in service");
        }
    }

    @Test
    void targetThatSendsWhatNoTargetSendsLosesItsConnection() throws Exception {
        try (Puppets p = new Puppets()) {
            Puppets.End a = p.target("a", 0);
            p.ask(p.client, "write", 0, 2000);
            Puppets.Got relay = a.nextRelay();
            relay.peer()
                    .send(Frame.newBuilder().setAccess(Access.newBuilder().setNumber(1)).build());
            assertEquals(
                    Final.BROKEN_OFF,
                    p.client.nextAnswer(3000).getFinal(),
                    "sent, and no word: it may have run");
            assertEquals(1, p.count(Count.MALFORMED_PEERS));
        }
    }
}
