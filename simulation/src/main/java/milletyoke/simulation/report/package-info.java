/**
 * Reports on the results of an experiment, as text and as a page with plots. It starts no thread of
 * its own.
 */
package milletyoke.simulation.report;
