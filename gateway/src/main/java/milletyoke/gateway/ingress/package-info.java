/**
 * Serves clients: validates requests and admits them to the event loop or rejects them.
 *
 * <p>Threads: everything here runs on the threads that serve sockets; {@link
 * milletyoke.gateway.ingress.ConcurrentAdmission} is also called by the event loop.
 */
package milletyoke.gateway.ingress;
