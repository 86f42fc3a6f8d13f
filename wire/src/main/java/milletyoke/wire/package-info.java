/**
 * The gateway's framed protocol over TCP: connections with their listeners and limits, and the
 * execution environment (clock, timers, network) of the product's components.
 *
 * <p>{@link milletyoke.wire.Network}, {@link milletyoke.wire.Connection} and {@link
 * milletyoke.wire.ExecutionEnvironment} are implemented over sockets here, and in virtual time by
 * the simulation. Each {@link milletyoke.wire.SocketNetwork} has its own I/O threads and one thread
 * that closes connections after a timeout; listeners are called on the I/O threads.
 */
package milletyoke.wire;
