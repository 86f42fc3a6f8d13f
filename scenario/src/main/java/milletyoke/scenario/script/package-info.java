/**
 * The notation of scenarios: reads scripts into immutable values, with the place of every error.
 * Nothing here has state that is shared between threads.
 */
package milletyoke.scenario.script;
