/**
 * The schedulers that simulations compare: the product's own, with other tuning figures if asked
 * for, and baselines. Each scheduler is used by the one thread of its simulation.
 */
package milletyoke.simulation.policy;
