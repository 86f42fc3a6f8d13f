/**
 * The operators' web console of one initiator: HTML pages, the same content as JSON, and an event
 * stream of each page.
 *
 * <p>The console has its own listener, I/O threads and worker threads, and one thread that updates
 * the streams. Pages are built from the latest status snapshot; no request waits for the event
 * loop.
 */
package milletyoke.gateway.console;
