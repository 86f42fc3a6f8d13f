/**
 * The clients' side: validates and admits requests, or rejects them, before the event loop sees
 * them.
 *
 * <p>Threads: everything here runs on the threads that serve sockets; {@link
 * milletyoke.gateway.ingress.ConcurrentAdmission} is called by the event loop too.
 */
package milletyoke.gateway.ingress;
