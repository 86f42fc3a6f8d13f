/**
 * Watches discovery for the endpoint list and saves the list for a restart.
 *
 * <p>Threads: the sockets' threads and the initiator's side thread; the event loop only asks for a
 * watch and never waits.
 */
package milletyoke.gateway.discovery;
