package milletyoke.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A participant's connections are bounded, and a place that comes free may be taken again. */
@Timeout(30)
class WireTest implements PeerHandler {
    @Override
    public void ready(Peer peer) {
    }

    @Override
    public void got(Peer peer, Frame frame) {
    }

    @Override
    public void closed(Peer peer, String why) {
    }

    private static boolean greeted(Socket socket) throws Exception {
        socket.setSoTimeout(5_000);
        try {
            return socket.getInputStream().read() >= 0; // the first byte of a hello, or the end
        } catch (java.net.SocketException reset) {
            return false;
        }
    }

    @Test
    void connectionsBeyondTheBoundAreClosedAsTheyCome() throws Exception {
        try (Wire wire = new Wire("test", 1, Tap.NONE, 2)) {
            int port = wire.listen("127.0.0.1", 0, Role.INITIATOR, this, Bounds.USUAL).port();
            List<Socket> open = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                open.add(new Socket("127.0.0.1", port));
                assertTrue(greeted(open.get(i)));
            }
            try (Socket third = new Socket("127.0.0.1", port)) {
                assertEquals(false, greeted(third));
            }
            open.get(0).close();
            boolean again = false;
            for (int i = 0; i < 200 && !again; i++) {
                Thread.sleep(10);
                try (Socket next = new Socket("127.0.0.1", port)) {
                    again = greeted(next);
                }
            }
            assertTrue(again, "a place came free");
            open.get(1).close();
        }
    }
}
