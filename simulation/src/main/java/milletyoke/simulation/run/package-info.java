/**
 * Runs one scenario in virtual time and collects its result. A run uses only the thread that calls
 * it.
 */
package milletyoke.simulation.run;
