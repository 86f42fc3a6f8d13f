/**
 * Experiments: their definition, the runs derived from it, the stored results and statistics. Runs
 * are distributed over a fixed pool of worker threads; each run stays on one of them.
 */
package milletyoke.simulation.experiment;
