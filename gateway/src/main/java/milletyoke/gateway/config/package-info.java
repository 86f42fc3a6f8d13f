/**
 * Reading of an initiator's settings: the JSON5 setup file, the deployment section or the fleet
 * configuration it refers to, and their conversion into the scheduler's settings.
 *
 * <p>Everything here runs once at start, and again on the configuration watcher's thread when a
 * file changed. The results are immutable and may be read by any thread.
 */
package milletyoke.gateway.config;
