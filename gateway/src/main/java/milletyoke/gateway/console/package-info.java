/**
 * The operators' web console of one initiator: HTML pages, the same as JSON, and a live stream of
 * each.
 *
 * <p>It has a listener, I/O threads and worker threads of its own and one thread that feeds the
 * streams. Everything is read from the latest status snapshot; no request waits for the event loop.
 */
package milletyoke.gateway.console;
