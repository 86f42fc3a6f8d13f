package milletyoke.gateway.loop;

import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Request;

/**
 * A message from another thread to the event loop. Messages from one thread are handled in the
 * order in which it posted them. Times are microseconds on the loop's clock.
 */
public sealed interface LoopMessage {
    /** Calls the visitor's method for this type of message. */
    void accept(Visitor visitor);

    /** Has one method for each type of message. Called on the loop's thread. */
    interface Visitor {
        /** Handles a request from a client. */
        void onRequestReceived(RequestReceived message);

        /** Handles a client's cancellation of one request. */
        void onRequestCancelled(RequestCancelled message);

        /** Handles the end of a client's connection. */
        void onClientDisconnected(ClientDisconnected message);

        /** Handles a connection to a target that was established. */
        void onConnectSucceeded(ConnectSucceeded message);

        /** Handles a failed connect to a target. */
        void onConnectFailed(ConnectFailed message);

        /** Handles the end of a connection to a target. */
        void onConnectionLost(ConnectionLost message);

        /** Handles the writing of an attempt or probe. */
        void onFrameWritten(FrameWritten message);

        /** Handles a target's reply to an attempt. */
        void onAttemptReplied(AttemptReplied message);

        /** Handles a target's reply to a probe. */
        void onProbeReplied(ProbeReplied message);

        /** Handles an endpoint list or an update of it. */
        void onEndpointListReceived(EndpointListReceived message);

        /** Handles discovery being unreachable or without a list. */
        void onDiscoveryUnavailable(DiscoveryUnavailable message);

        /** Handles the start of the shutdown. */
        void onBeginShutdown(BeginShutdown message);

        /** Handles the moment at which the process can wait for no request any longer. */
        void onEndRequests(EndRequests message);

        /** Handles an operator's drain or undrain of this initiator. */
        void onDrainInitiator(DrainInitiator message);

        /** Handles an operator's drain or undrain of one target. */
        void onDrainTarget(DrainTarget message);

        /** Handles new settings. */
        void onApplySettings(ApplySettings message);

        /** Handles a task for the loop's thread. */
        void onRunTask(RunTask message);
    }

    /**
     * A client sent a request.
     *
     * @param receivedAtMicros when the request was received; its deadline counts from then, however
     *     long it is queued
     */
    record RequestReceived(Connection client, Request request, long receivedAtMicros)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onRequestReceived(this);
        }
    }

    /** A client cancelled one request. */
    record RequestCancelled(Connection client, long number) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onRequestCancelled(this);
        }
    }

    /** A client's connection closed. */
    record ClientDisconnected(Connection client) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onClientDisconnected(this);
        }
    }

    /** A connection to a target was established; {@code connectNumber} identifies the connect. */
    record ConnectSucceeded(String target, long connectNumber, Connection connection)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onConnectSucceeded(this);
        }
    }

    /** A connection to a target could not be established. */
    record ConnectFailed(String target, long connectNumber, String reason) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onConnectFailed(this);
        }
    }

    /**
     * A connection to a target ended.
     *
     * @param refused whether the target stated that it processed nothing sent on the connection
     * @param unwritten frame number of the attempt or probe whose last byte provably never left
     *     this machine; 0 if none
     */
    record ConnectionLost(
            String target, Connection connection, String reason, boolean refused, long unwritten)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onConnectionLost(this);
        }
    }

    /**
     * The last byte of an attempt or probe was handed to the operating system.
     *
     * @param number the frame number of the attempt or probe
     */
    record FrameWritten(Connection connection, long number, long writtenAtMicros)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onFrameWritten(this);
        }
    }

    /**
     * A target replied to an attempt.
     *
     * @param receivedAtMicros when the reply's last byte was read; the loop may handle it later
     */
    record AttemptReplied(Connection connection, AttemptReply reply, long receivedAtMicros)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onAttemptReplied(this);
        }
    }

    /**
     * A target replied to a probe.
     *
     * @param receivedAtMicros when the reply's last byte was read; the loop may handle it later
     */
    record ProbeReplied(Connection connection, long number, Load load, long receivedAtMicros)
            implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onProbeReplied(this);
        }
    }

    /** Discovery sent an endpoint list or an update of it. */
    record EndpointListReceived(EndpointList list) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onEndpointListReceived(this);
        }
    }

    /** Discovery is unreachable or has no endpoint list. */
    record DiscoveryUnavailable(String reason) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onDiscoveryUnavailable(this);
        }
    }

    /**
     * Begins the shutdown: no request is admitted, and the loop ends once every tracked request is
     * resolved.
     */
    record BeginShutdown() implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onBeginShutdown(this);
        }
    }

    /** Gives every tracked request its final response, because the process ends. */
    record EndRequests() implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onEndRequests(this);
        }
    }

    /** An operator drains or undrains this initiator. */
    record DrainInitiator(boolean drained, String operator) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onDrainInitiator(this);
        }
    }

    /** An operator drains or undrains a target on this initiator only. */
    record DrainTarget(String target, boolean drained, String operator) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onDrainTarget(this);
        }
    }

    /** Applies new settings. */
    record ApplySettings(SchedulerSettings settings) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onApplySettings(this);
        }
    }

    /** Runs a task on the loop's thread. */
    record RunTask(Runnable task) implements LoopMessage {
        @Override
        public void accept(Visitor visitor) {
            visitor.onRunTask(this);
        }
    }
}
