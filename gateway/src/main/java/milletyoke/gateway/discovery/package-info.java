/**
 * Watches discovery for endpoint lists and caches the latest list for a restart.
 *
 * <p>Threads: the threads that serve sockets and the initiator's side thread. The event loop only
 * starts watches, without blocking.
 */
package milletyoke.gateway.discovery;
