/**
 * The gateway's own framed protocol over TCP: connections, their listeners and limits, and the
 * environment (clock, timers, network) that the product runs in.
 *
 * <p>{@link milletyoke.wire.Network}, {@link milletyoke.wire.Connection} and {@link
 * milletyoke.wire.ExecutionEnvironment} are implemented with sockets here and with virtual time in
 * the simulation. Each {@link milletyoke.wire.SocketNetwork} has its own I/O threads and one thread
 * that closes connections after a timeout; listeners are called on the I/O threads.
 */
package milletyoke.wire;
