/**
 * The event loop: the one way into and out of the scheduler.
 *
 * <p>Threads: everything here is owned by the loop's one thread, except what says that any thread
 * may call it ({@link milletyoke.gateway.loop.EventLoop}'s public methods, {@link
 * milletyoke.gateway.loop.Counters}). The loop's thread never waits for a socket or a disk.
 */
package milletyoke.gateway.loop;
