/**
 * The event loop, through which all events and actions of the scheduler pass.
 *
 * <p>Threads: everything here is owned by the loop's single thread, except where documented that
 * any thread may call it ({@link milletyoke.gateway.loop.EventLoop}'s public methods, {@link
 * milletyoke.gateway.loop.Counters}). The loop's thread never blocks on a socket or a disk.
 */
package milletyoke.gateway.loop;
