/**
 * The fleet configuration language: parsing, checking, meaning, comparison and formatting of the
 * files that describe a deployment.
 *
 * <p>The package touches no disk; files come from a {@link milletyoke.config.SourceProvider}.
 * Results are immutable; a check runs on the caller's thread and keeps no state afterwards.
 */
package milletyoke.config;
