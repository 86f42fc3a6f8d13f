/**
 * The initiator process: puts the event loop, the sockets, discovery, the console and the
 * configuration's watcher together.
 *
 * <p>Threads: sockets' threads, one event loop, and one side thread for whatever may wait for a
 * disk or a timer.
 */
package milletyoke.gateway;
