/**
 * Runs one scenario in virtual time and collects its result. A run uses only the calling thread.
 */
package milletyoke.simulation.run;
