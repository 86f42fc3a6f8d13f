/**
 * The command {@code config} and its subcommands: checks, formats, compares, shows and converts
 * files of the configuration language (docs/configuration.md). All work runs on the main thread.
 */
package milletyoke.cli.configuration;
