/**
 * The schedulers that simulations compare: the production scheduler, optionally with other tuning
 * parameters, and baselines. Each scheduler is used only by the thread of its simulation.
 */
package milletyoke.simulation.policy;
