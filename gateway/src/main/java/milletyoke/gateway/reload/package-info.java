/**
 * Watches the configuration files while the initiator runs, and decides whether a new version can
 * be applied.
 *
 * <p>Threads: the initiator's side thread. Any thread may read the status.
 */
package milletyoke.gateway.reload;
