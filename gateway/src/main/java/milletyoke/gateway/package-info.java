/**
 * The initiator process, which connects the event loop, the sockets, discovery, the console and the
 * configuration watcher.
 *
 * <p>Threads: the threads that serve sockets, one event loop, and one side thread for disk I/O and
 * timers.
 */
package milletyoke.gateway;
