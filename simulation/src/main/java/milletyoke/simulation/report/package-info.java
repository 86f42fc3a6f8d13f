/**
 * Reports on the results of an experiment, as text and as an HTML page with plots. Reports start no
 * threads of their own.
 */
package milletyoke.simulation.report;
