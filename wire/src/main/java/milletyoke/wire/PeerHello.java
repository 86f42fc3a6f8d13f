package milletyoke.wire;

import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Hello;
import milletyoke.wire.proto.Role;

/**
 * What a peer declared in its hello, the first frame of each end.
 *
 * @param protocolVersion the highest version that both ends support
 */
record PeerHello(String name, Role role, int protocolVersion) {
    /** The lowest protocol version that this build supports. */
    static final int LOWEST_VERSION = 1;

    /** The highest protocol version that this build supports. */
    static final int HIGHEST_VERSION = 2;

    private static final int MAX_NAME_LENGTH = 200;

    /** Returns the hello of this end. */
    static Frame frame(Role ownRole, String ownName) {
        return Frame.newBuilder()
                .setHello(
                        Hello.newBuilder()
                                .setLowestVersion(LOWEST_VERSION)
                                .setHighestVersion(HIGHEST_VERSION)
                                .setRole(ownRole)
                                .setName(ownName))
                .build();
    }

    /**
     * Validates the first frame of a peer.
     *
     * @throws MalformedFrameException if it is no hello, or if no common version exists
     */
    static PeerHello accept(Frame frame) throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
            throw new MalformedFrameException(
                    "the first frame must be a hello, not " + frame.getBodyCase());
        }
        Hello hello = frame.getHello();
        if (hello.getHighestVersion() < LOWEST_VERSION
                || hello.getLowestVersion() > HIGHEST_VERSION) {
            throw new MalformedFrameException(
                    "versions "
                            + hello.getLowestVersion()
                            + " to "
                            + hello.getHighestVersion()
                            + " are offered, "
                            + LOWEST_VERSION
                            + " to "
                            + HIGHEST_VERSION
                            + " are spoken here");
        }
        if (hello.getName().length() > MAX_NAME_LENGTH) {
            throw new MalformedFrameException("a name of over " + MAX_NAME_LENGTH + " characters");
        }
        return new PeerHello(
                hello.getName(),
                hello.getRole(),
                Math.min(HIGHEST_VERSION, hello.getHighestVersion()));
    }
}
