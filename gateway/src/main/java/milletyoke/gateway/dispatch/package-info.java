/**
 * Sends attempts and probes to targets over pooled connections and determines the outcome of each.
 *
 * <p>Threads: everything here is owned by the event loop's thread. Sockets are behind {@link
 * milletyoke.gateway.dispatch.Connector} and are served by other threads, which post messages to
 * the loop.
 */
package milletyoke.gateway.dispatch;
