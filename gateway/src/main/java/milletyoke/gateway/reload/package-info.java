/**
 * Watches the configuration's files in service and decides whether a new version can be applied.
 *
 * <p>Threads: the initiator's side thread; the status may be read by any thread.
 */
package milletyoke.gateway.reload;
