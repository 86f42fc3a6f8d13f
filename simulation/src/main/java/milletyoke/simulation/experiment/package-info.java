/**
 * Experiments: what varies, the runs that follow from it, their stored results and statistics. Runs
 * are spread over a fixed pool of worker threads; each run stays on one of them.
 */
package milletyoke.simulation.experiment;
