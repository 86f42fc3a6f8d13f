/**
 * Reads an initiator's settings: the JSON5 setup file with its deployment section, or the fleet
 * configuration that the setup file refers to, and converts them into the scheduler's settings.
 *
 * <p>The readers run once at start, and again on the configuration watcher's thread when a file
 * changes. Their results are immutable and may be read by any thread.
 */
package milletyoke.gateway.config;
