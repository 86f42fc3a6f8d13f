/**
 * The fleet configuration language: parses, checks, resolves, compares and formats the files that
 * describe a deployment.
 *
 * <p>The package does no file I/O; a {@link milletyoke.config.SourceProvider} supplies the files.
 * Results are immutable. A check runs on the caller's thread and keeps no state afterwards.
 */
package milletyoke.config;
