/**
 * The command {@code simulate} and its subcommands: scenarios, experiments and fault searches in
 * virtual time. Single runs use the main thread; experiments and searches a fixed pool of workers.
 */
package milletyoke.cli.simulation;
